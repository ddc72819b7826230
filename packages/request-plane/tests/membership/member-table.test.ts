import t from 'tap';

import { entriesForAgent } from '../../src/membership/entries-for-agent.js';
import type { Member } from '../../src/membership/member.js';
import { MemberTable } from '../../src/membership/member-table.js';
import { OwnMember } from '../../src/membership/own-member.js';

const agent: Member = {
  id: 'agent-1',
  instance: 'agent-1-run-1',
  incarnation: 1,
  role: 'agent',
  address: '127.0.0.1:1',
  operatorsAddress: '127.0.0.1:2',
  region: 'here',
  availabilityZone: 'here-1',
  rack: 'rack',
  state: 'alive',
  workerAddress: '',
  worker: 'worker-1',
  processors: 1,
  memoryGigabytes: 1,
  accelerators: 0,
  upstreams: [],
  suspectedBy: [],
};

function table(name: string): MemberTable {
  return new MemberTable(name, `${name}-run`, { record: () => undefined });
}

function stateIn(members: MemberTable): string {
  return members.find('agent-1')?.member.state ?? 'unknown';
}

t.test('one observer suspects a member, two declare it dead', t => {
  const one = table('one');
  const two = table('two');
  one.applyHeartbeat(agent, 1);
  two.applyHeartbeat(agent, 1);
  one.sweep(2501);
  t.equal(stateIn(one), 'suspect');
  t.ok(one.ofRole('agent').length === 1);
  two.sweep(2501);
  one.merge(two.changesSince(0), 2600);
  t.equal(stateIn(one), 'dead');
  t.equal(one.ofRole('agent').length, 0);
  t.end();
});

t.test('a heartbeat clears a suspicion', t => {
  const one = table('one');
  one.applyHeartbeat(agent, 1);
  one.sweep(2501);
  one.applyHeartbeat(agent, 2600);
  t.equal(stateIn(one), 'alive');
  t.end();
});

t.test(
  'a process that received no heartbeat does not declare a member dead',
  t => {
    const far = table('far');
    far.merge([agent], 0);
    far.sweep(1_000_000);
    t.equal(stateIn(far), 'alive');
    t.end();
  },
);

t.test(
  'a member that was declared dead while paused returns with a new incarnation',
  t => {
    const one = table('one');
    one.applyHeartbeat(agent, 1);
    one.sweep(9001);
    t.equal(stateIn(one), 'dead');
    const answer = one.applyHeartbeat(agent, 9100);
    t.equal(answer.state, 'dead');
    const own = new OwnMember(agent);
    t.ok(own.refute(answer));
    one.applyHeartbeat(own.get(), 9200);
    t.equal(stateIn(one), 'alive');
    t.end();
  },
);

t.test('late reports do not change the state of a leaving member', t => {
  const one = table('one');
  one.applyHeartbeat({ ...agent, incarnation: 2, state: 'leaving' }, 0);
  one.merge([agent], 10);
  one.merge([{ ...agent, state: 'suspect' }], 10);
  t.equal(stateIn(one), 'leaving');
  t.end();
});

t.test('an agent always selects the same three entries', t => {
  const entries = Array.from({ length: 14 }, (_, index) => `10.0.0.${index}:1`);
  const selected = entriesForAgent('agent-1', entries);
  t.equal(selected.length, 3);
  t.same(entriesForAgent('agent-1', [...entries].reverse()), selected);
  t.end();
});

t.test("a member's own heartbeat overrides the suspicion of others", t => {
  const members = table('one');
  members.applyHeartbeat(agent, 1000);
  members.merge([{ ...agent, state: 'dead', suspectedBy: ['two'] }], 1500);
  t.equal(stateIn(members), 'alive');
  t.equal(
    members.applyHeartbeat(agent, 2000).state,
    'suspect',
    'the member is notified of the suspicion',
  );
  t.equal(members.applyHeartbeat(agent, 3000).state, 'alive', 'once');
  members.merge([{ ...agent, state: 'dead', suspectedBy: ['two'] }], 9000);
  t.equal(
    stateIn(members),
    'dead',
    'reports of others apply once heartbeats stop',
  );
  t.end();
});
