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
