import t from 'tap';

import { decideLeaseAction } from '../../src/lease/decide-lease-action.js';
import { holdsLease } from '../../src/lease/holds-lease.js';

const cell = {
  name: 'c',
  epoch: 3,
  holder: 'me',
  renewals: 1,
  cleanHandover: true,
};

const cases = [
  {
    name: 'a holder renews before the lease expires',
    holder: 'me',
    rank: 0,
    elapsed: 700,
    action: 'renew',
  },
  {
    name: 'a holder that has just renewed waits',
    holder: 'me',
    rank: 0,
    elapsed: 100,
    action: 'wait',
  },
  {
    name: 'another holder may still hold the lease',
    holder: 'you',
    rank: 0,
    elapsed: 2500,
    action: 'wait',
  },
  {
    name: 'another holder has stopped renewing',
    holder: 'you',
    rank: 0,
    elapsed: 2526,
    action: 'claim',
  },
  {
    name: 'the second in rank waits longer',
    holder: 'you',
    rank: 1,
    elapsed: 2600,
    action: 'wait',
  },
  {
    name: 'a released lease is claimed at once',
    holder: '',
    rank: 0,
    elapsed: 0,
    action: 'claim',
  },
] as const;

for (const { name, holder, rank, elapsed, action } of cases) {
  t.test(name, t => {
    const decided = decideLeaseAction(
      {
        observation: { cell: { ...cell, holder }, changedAt: 1000 },
        instance: 'me',
        rank,
        leaseMilliseconds: 2500,
        lastSentAt: 1000,
      },
      1000 + elapsed,
    );
    t.equal(decided, action);
    t.end();
  });
}

t.test('a holder stops acting before another candidate may claim', t => {
  const observation = { cell, changedAt: 1000 };
  t.ok(holdsLease(observation, 'me', 1000, 2500, 3474));
  t.notOk(holdsLease(observation, 'me', 1000, 2500, 3475));
  t.notOk(holdsLease(observation, 'you', 1000, 2500, 1001));
  t.end();
});
