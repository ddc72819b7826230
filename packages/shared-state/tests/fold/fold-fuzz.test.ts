import fc from 'fast-check';
import t from 'tap';

import { StateFold } from '../../src/fold/state-fold.js';
import type { StoredRecord } from '../../src/log/stored-record.js';
import { writeSnapshot } from '../../src/snapshot/snapshot-text.js';
import { smallDeploymentFold } from '../support/small-deployment.js';

// Guards against a record that makes the fold throw, which would stop every
// process at its offset, and against folds of the same records that differ.

const RUNS = 1500;

const kinds = fc.constantFrom(
  ...['release-note', 'entry-joined', 'entry-left', 'decisions'],
  ...['lease-claim', 'lease-renewal', 'lease-release', 'snapshot-chunk'],
  ...['__proto__', 'constructor', 'toString', 'hasOwnProperty', 'later-kind'],
);

const decisions = fc.record(
  {
    type: fc.constantFrom('place', 'end', 'lose', 'recover', 'evict', 'x'),
    attemptId: fc.constantFrom('service/labels/0#1', 'job/x#1', '#', ''),
    task: fc.constantFrom('service/labels/0', 'job/reconcile@1', '__proto__'),
    worker: fc.constantFrom('worker-1', '__proto__', 'no-such'),
    attempt: fc.integer({ min: -1, max: 3 }),
    outcome: fc.constantFrom('finished', 'failed', 'lapsed', 'x'),
    checkpoint: fc.string(),
    reason: fc.string(),
    resources: fc.record({
      processors: fc.double(),
      memoryGigabytes: fc.integer(),
      accelerators: fc.integer(),
    }),
  },
  { requiredKeys: ['type'] },
);

const bodies = fc.oneof(
  fc.jsonValue(),
  fc.record({ operator: fc.string(), text: fc.string() }),
  fc.record({
    cell: fc.constantFrom('here/0', '', '__proto__'),
    epoch: fc.integer({ min: 0, max: 2 }),
    decisions: fc.array(decisions, { maxLength: 4 }),
  }),
);

const records = fc
  .array(
    fc.record({
      id: fc.constantFrom('a', 'b', 'c', 'd', '__proto__'),
      kind: kinds,
      version: fc.integer({ min: 0, max: 3 }),
      writer: fc.string({ maxLength: 5 }),
      writtenAt: fc.double(),
      body: bodies,
    }),
    { minLength: 1, maxLength: 6 },
  )
  .map(
    envelopes =>
      (from: number): readonly StoredRecord[] =>
        envelopes.map((envelope, index) => ({
          offset: from + index,
          envelope,
        })),
  );

function snapshotAfter(
  recordsFrom: (from: number) => readonly StoredRecord[],
): string {
  const fold = smallDeploymentFold();
  for (const record of recordsFrom(fold.next)) {
    fold.apply(record);
  }
  return writeSnapshot(fold);
}

t.test(
  'no record makes a fold throw, and two folds of the same records agree',
  t => {
    fc.assert(
      fc.property(records, recordsFrom => {
        return snapshotAfter(recordsFrom) === snapshotAfter(recordsFrom);
      }),
      { seed: 2, numRuns: RUNS },
    );
    t.end();
  },
);

t.test('a malformed envelope is skipped', t => {
  const fold = new StateFold();
  const envelope = JSON.parse('{"kind": 7}') as StoredRecord['envelope'];
  t.match(fold.apply({ offset: 0, envelope }), {
    applied: false,
    reason: 'malformed record',
  });
  t.equal(fold.next, 1);
  t.end();
});
