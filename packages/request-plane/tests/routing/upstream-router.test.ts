import { ManualClock } from '@basilcourse/foundation/clock/manual-clock';
import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import t from 'tap';

import type { Member } from '../../src/membership/member.js';
import { MemberTable } from '../../src/membership/member-table.js';
import { ByteBudget } from '../../src/routing/byte-budget.js';
import { LoadTable } from '../../src/routing/load-table.js';
import { OutlierDetector } from '../../src/routing/outlier-detector.js';
import { UnreachableAgents } from '../../src/routing/unreachable-agents.js';
import { UpstreamRouter } from '../../src/routing/upstream-router.js';

function agent(name: string, region: string): Member {
  return {
    id: name,
    instance: `${name}-run`,
    incarnation: 1,
    role: 'agent',
    address: '127.0.0.1:1',
    operatorsAddress: '127.0.0.1:2',
    region,
    availabilityZone: `${region}-1`,
    rack: 'rack',
    state: 'alive',
    workerAddress: '',
    worker: name,
    processors: 1,
    memoryGigabytes: 1,
    accelerators: 0,
    upstreams: [{ service: 'labels', attempt: `${name}#1`, slots: 8 }],
    suspectedBy: [],
  };
}

const busy = { slots: 8, running: 8, queued: 0, serviceMilliseconds: 100 };

function routerOf(
  members: readonly Member[],
  loads: LoadTable,
  unreachableAgents = new UnreachableAgents(),
  clock = new ManualClock(1000),
): UpstreamRouter {
  const table = new MemberTable('entry', 'entry-run', {
    record: () => undefined,
  });
  for (const member of members) {
    table.applyHeartbeat(member, 1);
  }
  const random = seededRandom(1);
  return new UpstreamRouter({
    members: table,
    loads,
    outliers: new OutlierDetector(random),
    unreachableAgents,
    crossRegionBytes: new ByteBudget(() => 1000, 1000),
    clock,
    random,
    region: 'here',
    policy: 'expected-time',
  });
}

t.test('an upstream without a measurement gets the median service time', t => {
  const loads = new LoadTable();
  loads.recordReport('a#1', busy, 1000);
  const router = routerOf([agent('a', 'here'), agent('b', 'here')], loads);
  const times = router
    .candidates('labels')
    .map(candidate => candidate.serviceMilliseconds);
  t.same(times, [100, 100]);
  t.end();
});

t.test(
  'another region is used only when no local upstream meets the deadline',
  t => {
    const loads = new LoadTable();
    loads.recordReport('a#1', { ...busy, queued: 64 }, 1000);
    const router = routerOf([agent('a', 'here'), agent('far', 'there')], loads);
    const near = router.choose('labels', new Set(), '', 1000 + 10_000);
    const far = router.choose('labels', new Set(), '', 1000 + 600);
    t.equal(near?.region, 'here');
    t.equal(far?.region, 'there');
    t.end();
  },
);

t.test('any number of agents that refuse connections is excluded', t => {
  const unreachableAgents = new UnreachableAgents();
  const members = ['a', 'b', 'c', 'd'].map(name => agent(name, 'here'));
  const router = routerOf(members, new LoadTable(), unreachableAgents);
  const chosen = (): readonly (string | undefined)[] =>
    Array.from(
      { length: 40 },
      () => router.choose('labels', new Set(), '', 9000)?.agentId,
    );
  t.same([...new Set(chosen())].sort(), ['a', 'b', 'c', 'd']);
  for (const name of ['a', 'b', 'c']) {
    unreachableAgents.recordConnectFailure(`${name}-run`, 1000);
  }
  t.same([...new Set(chosen())], ['d']);
  unreachableAgents.recordAnswer('b-run');
  t.same([...new Set(chosen())].sort(), ['b', 'd']);
  for (const name of ['b', 'd']) {
    unreachableAgents.recordConnectFailure(`${name}-run`, 1000);
  }
  t.equal(new Set(chosen()).size, 4, 'all are tried when all are excluded');
  t.end();
});

t.test('an upstream that was slow is tried again after 30 s', t => {
  const loads = new LoadTable();
  const clock = new ManualClock(1000);
  const idle = { slots: 8, running: 0, queued: 0 };
  loads.recordReport('a#1', { ...idle, serviceMilliseconds: 400 }, clock.now());
  const members = ['a', 'b', 'c'].map(name => agent(name, 'here'));
  const router = routerOf(members, loads, new UnreachableAgents(), clock);
  const chosen = (): ReadonlySet<string | undefined> => {
    for (const name of ['b', 'c']) {
      const serviceMilliseconds = 10 + 0.1 * Math.sin(clock.now());
      loads.recordReport(
        `${name}#1`,
        { ...idle, serviceMilliseconds },
        clock.now(),
      );
    }
    // Gives the other upstreams three requests in flight, a moderate load.
    for (let count = 0; count < 3; count += 1) {
      loads.requestStarted('b#1');
      loads.requestStarted('c#1');
    }
    const names = Array.from(
      { length: 40 },
      () => router.choose('labels', new Set(), '', 1e9)?.agentId,
    );
    for (let count = 0; count < 3; count += 1) {
      loads.requestEnded('b#1');
      loads.requestEnded('c#1');
    }
    return new Set(names);
  };
  t.notOk(chosen().has('a'), 'it is avoided at first');
  clock.advance(30_000);
  t.ok(chosen().has('a'), 'it is tried again');
  t.end();
});
