import fc from 'fast-check';
import t from 'tap';

import { announcementCheck } from '../../src/node/announcement-check.js';

const validAnnouncement = {
  service: 'labels',
  attempt: 'service/labels/0#1',
  address: '127.0.0.1:80',
  slots: 8,
  connections: 64,
  leaving: false,
};

const invalidBodies = [
  { ...validAnnouncement, service: '__proto__' },
  { ...validAnnouncement, service: 'UPPER' },
  { ...validAnnouncement, attempt: '' },
  { ...validAnnouncement, address: 'localhost' },
  { ...validAnnouncement, address: '127.0.0.1:99999' },
  { ...validAnnouncement, slots: 0 },
  { ...validAnnouncement, slots: 1.5 },
  { ...validAnnouncement, connections: 70_000 },
  { ...validAnnouncement, leaving: 'no' },
  [],
  undefined,
];

t.test('announcements', t => {
  t.equal(announcementCheck(validAnnouncement), '');
  t.equal(announcementCheck({ ...validAnnouncement, left: true }), '');
  for (const body of invalidBodies) {
    t.not(announcementCheck(body), '', JSON.stringify(body));
  }
  t.end();
});

t.test('the result is a string for any body', t => {
  fc.assert(
    fc.property(
      fc.oneof(
        fc.jsonValue(),
        fc.record({
          service: fc.string(),
          attempt: fc.string(),
          address: fc.string(),
          slots: fc.integer(),
          connections: fc.integer(),
          leaving: fc.boolean(),
        }),
      ),
      body => typeof announcementCheck(body) === 'string',
    ),
    { seed: 4, numRuns: 1000 },
  );
  t.end();
});
