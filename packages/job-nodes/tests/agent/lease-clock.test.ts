import t from 'tap';

import { LeaseClock } from '../../src/agent/lease-clock.js';

t.test('the end of a lease on the minion clock is never later than ours', t => {
  const lease = new LeaseClock();
  t.equal(lease.expiryFor(5000, 0), undefined, 'the clock is not known');
  lease.note(70_000, 1000);
  t.equal(lease.expiryFor(5000, 1200), 74_000);
  t.equal(lease.expiryFor(1100, 1200), undefined, 'it is over');
  t.end();
});

t.test('a lease counts as over only when a slow clock would agree', t => {
  const lease = new LeaseClock();
  t.equal(lease.isOver(1_000_000), false, 'one from before may be unknown');
  lease.note(0, 0);
  lease.expiryFor(1000, 0);
  t.equal(lease.isOver(1400), false);
  t.equal(lease.isOver(1421), true);
  lease.reset();
  t.equal(lease.isOver(1_000_000), false);
  t.end();
});
