import t from 'tap';

import { ManualClock } from '../../src/clock/manual-clock.js';
import { EventRing } from '../../src/events/event-ring.js';
import { mergePages } from '../../src/events/merge-pages.js';

t.test('a full ring reports how many events were dropped', t => {
  const ring = new EventRing('one', new ManualClock(), 4);
  for (let index = 1; index <= 6; index += 1) {
    ring.record('request-ended', `event ${index}`);
  }
  const page = ring.since(0);
  t.equal(page.dropped, 2);
  t.same(
    page.events.map(({ text }) => text),
    ['event 3', 'event 4', 'event 5', 'event 6'],
  );
  t.equal(ring.since(5).events.length, 1);
  t.equal(ring.since(5).dropped, 0);
  t.end();
});

t.test('pages of several processes are merged by their timestamps', t => {
  const clock = new ManualClock(100);
  const one = new EventRing('one', clock);
  const two = new EventRing('two', clock);
  one.record('request-accepted', 'first');
  clock.advance(5);
  two.record('request-began', 'second');
  clock.advance(5);
  one.record('request-ended', 'third');
  const merged = mergePages([two.since(0), one.since(0)]);
  t.same(
    merged.map(({ text }) => text),
    ['first', 'second', 'third'],
  );
  t.end();
});
