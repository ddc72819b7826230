import t from 'tap';

import { ServiceTime } from '../../src/agent/service-time.js';

t.test('samples within a short time are averaged', t => {
  const time = new ServiceTime();
  time.add(10, 0);
  time.add(20, 1);
  t.equal(Math.round(time.milliseconds), 11);
  t.end();
});

t.test('a sample after a long pause replaces the estimate', t => {
  const time = new ServiceTime();
  time.add(400, 0);
  time.add(10, 60_000);
  t.equal(Math.round(time.milliseconds), 10);
  t.end();
});

t.test('the estimate used to refuse requests decays without samples', t => {
  const time = new ServiceTime();
  time.add(4000, 0);
  t.equal(time.decayedMilliseconds(0), 4000);
  t.ok(time.decayedMilliseconds(30_000) < 50);
  t.equal(time.milliseconds, 4000);
  t.end();
});
