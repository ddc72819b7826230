import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import t from 'tap';

import { RetryBudget } from '../../src/retry/retry-budget.js';
import { ByteBudget } from '../../src/routing/byte-budget.js';
import { OutlierDetector } from '../../src/routing/outlier-detector.js';
import {
  expectedCompletionMilliseconds,
  routingPolicies,
} from '../../src/routing/routing-policies.js';
import type { UpstreamCandidate } from '../../src/routing/upstream-candidate.js';

function candidate(
  attempt: string,
  change: Partial<UpstreamCandidate> = {},
): UpstreamCandidate {
  return {
    agentId: `agent-${attempt}`,
    agentAddress: '127.0.0.1:1',
    agentInstance: 'instance',
    attempt,
    region: 'here',
    availabilityZone: 'here-1',
    slots: 8,
    inFlight: 0,
    othersInFlight: 0,
    serviceMilliseconds: 10,
    suspect: false,
    ...change,
  };
}

t.test('expected time rises with load, queue length and service time', t => {
  const idle = expectedCompletionMilliseconds(candidate('a'));
  const busy = expectedCompletionMilliseconds(candidate('a', { inFlight: 4 }));
  const queued = expectedCompletionMilliseconds(
    candidate('a', { othersInFlight: 16 }),
  );
  const slow = expectedCompletionMilliseconds(
    candidate('a', { serviceMilliseconds: 50 }),
  );
  t.ok(idle < busy);
  t.ok(busy < queued);
  t.ok(queued < slow);
  t.end();
});

t.test('expected-time avoids a slow upstream, round robin does not', t => {
  const random = seededRandom(1);
  const all = [
    candidate('slow', { serviceMilliseconds: 50 }),
    candidate('b'),
    candidate('c'),
  ];
  const chosen = Array.from({ length: 30 }, (_, turn) => ({
    expectedTime: routingPolicies['expected-time'](all, random)?.attempt,
    roundRobin: routingPolicies['round-robin'](all, random, turn)?.attempt,
  }));
  t.equal(
    chosen.filter(({ expectedTime }) => expectedTime === 'slow').length,
    0,
  );
  t.equal(chosen.filter(({ roundRobin }) => roundRobin === 'slow').length, 10);
  t.end();
});

t.test('five consecutive failures eject an upstream for a limited time', t => {
  const detector = new OutlierDetector(seededRandom(1));
  const all = ['a', 'b', 'c', 'd'].map(attempt => ({ attempt }));
  for (let failure = 0; failure < 4; failure += 1) {
    detector.recordFailure('a', 0);
  }
  t.equal(detector.withoutEjected(all, 0).length, 4);
  detector.recordFailure('a', 0);
  t.equal(detector.withoutEjected(all, 0).length, 3);
  t.equal(detector.withoutEjected(all, 3001).length, 4);
  t.end();
});

t.test('all upstreams are returned when too many would be ejected', t => {
  const detector = new OutlierDetector(seededRandom(1));
  const all = ['a', 'b', 'c', 'd'].map(attempt => ({ attempt }));
  for (const attempt of ['a', 'b']) {
    for (let failure = 0; failure < 5; failure += 1) {
      detector.recordFailure(attempt, 0);
    }
  }
  t.equal(detector.withoutEjected(all, 0).length, 4);
  t.end();
});

t.test('a byte budget limits bytes per second', t => {
  const budget = new ByteBudget(() => 1000, 0);
  budget.spend(2500, 0);
  t.notOk(budget.hasBytesLeft(1000));
  t.ok(budget.hasBytesLeft(2000));
  t.equal(budget.spent, 2500);
  t.end();
});

t.test('retries are limited to a share of successful requests', t => {
  const budget = new RetryBudget();
  let taken = 0;
  while (budget.take()) {
    taken += 1;
  }
  for (let success = 0; success < 100; success += 1) {
    budget.recordSuccess();
  }
  let afterwards = 0;
  while (budget.take()) {
    afterwards += 1;
  }
  t.equal(taken, 10);
  t.ok(afterwards >= 19 && afterwards <= 20, `${afterwards}`);
  t.end();
});
