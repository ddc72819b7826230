import t from 'tap';

import { HybridClock } from '../../src/events/hybrid-clock.js';

t.test('timestamps increase while the wall clock does not advance', t => {
  const clock = new HybridClock();
  t.same(clock.stamp(10), { wall: 10, logical: 0 });
  t.same(clock.stamp(10), { wall: 10, logical: 1 });
  t.same(clock.stamp(9), { wall: 10, logical: 2 });
  t.end();
});

t.test('a local timestamp is later than the one received', t => {
  const clock = new HybridClock();
  clock.observe({ wall: 50, logical: 7 }, 40);
  t.same(clock.stamp(41), { wall: 50, logical: 8 });
  t.end();
});

t.test('a received timestamp far ahead of the local clock is ignored', t => {
  const clock = new HybridClock();
  clock.observe({ wall: 10_000_000, logical: 0 }, 40);
  t.same(clock.stamp(41), { wall: 41, logical: 0 });
  t.end();
});
