import t from 'tap';

import { LeaseClock } from '../../src/agent/lease-clock.js';

const LIMITS = {
  longestLeaseMilliseconds: 1000,
  longestCallDelayMilliseconds: 0,
};

t.test('a lease never expires later on the minion than on the agent', t => {
  const lease = new LeaseClock(LIMITS);
  t.equal(lease.expiryFor(5000, 0), undefined, 'the clock has not been read');
  lease.recordClock(70_000, 1000);
  t.equal(lease.expiryFor(5000, 1200), 74_000);
  t.equal(lease.expiryFor(1100, 1200), undefined, 'it has expired');
  t.end();
});

t.test('a lease counts as expired only once it has on the slowest clock', t => {
  const lease = new LeaseClock(LIMITS);
  t.equal(
    lease.isExpired(1_000_000),
    false,
    'the minion may hold a lease of an earlier agent',
  );
  lease.recordClock(0, 0);
  lease.expiryFor(1000, 0);
  t.equal(lease.isExpired(1400), false);
  t.equal(lease.isExpired(1421), true);
  lease.reset();
  t.equal(lease.isExpired(1_000_000), false);
  t.end();
});

// Guards against runs that hold a lease which a call for the former life gave.
t.test('a life that has just answered may hold the longest lease', t => {
  const lease = new LeaseClock({ ...LIMITS, longestLeaseMilliseconds: 5000 });
  lease.recordClock(0, 1000);
  lease.expiryFor(2000, 1000);
  lease.recordClock(500, 1500);
  t.equal(lease.isExpired(6500), false);
  t.equal(
    lease.isExpired(6501),
    true,
    '5.1 s and 0.4 s after its first answer',
  );
  t.end();
});

t.test('the clock of an answer tells a life from the next one', t => {
  const lease = new LeaseClock(LIMITS);
  t.equal(lease.isSame(70_000, 1000), false, 'no clock has been read');
  lease.recordClock(70_000, 1000);
  t.equal(lease.isSame(70_300, 1290), true);
  t.equal(lease.isSame(300, 1290), false);
  lease.reset();
  lease.recordClock(1500, 1000);
  t.equal(lease.isSame(1600, 1100), false, 'too young to be told from another');
  t.end();
});

// Guards against runs that are kept for ever, as their life fell silent at once.
t.test('a life that got no lease of this agent is given up too', t => {
  const lease = new LeaseClock(LIMITS);
  lease.recordClock(0, 1000);
  t.equal(lease.isExpired(2420), false);
  t.equal(lease.isExpired(2421), true);
  t.end();
});
