import type { Member } from '@basilcourse/request-plane/membership/member';
import t from 'tap';

import { chooseSource } from '../../src/relay/choose-source.js';

function member(id: string, change: Partial<Member> = {}): Member {
  return {
    id,
    instance: `${id}-run`,
    incarnation: 1,
    role: 'entry',
    address: `${id}:1`,
    operatorsAddress: `${id}:2`,
    region: 'here',
    availabilityZone: 'here-1',
    rack: 'none',
    state: 'alive',
    workerAddress: '',
    worker: '',
    processors: 0,
    memoryGigabytes: 0,
    accelerators: 0,
    upstreams: [],
    suspectedBy: [],
    ...change,
  };
}

t.test('one entry of each zone reads the store', t => {
  const zone = [member('a'), member('b'), member('c')];
  const sources = zone.map(own => chooseSource(own, zone, 0));
  t.equal(sources.filter(({ kind }) => kind === 'store').length, 1);
  t.end();
});

t.test('the only entry of a zone reads the store itself', t => {
  const own = member('a');
  const others = [member('b', { availabilityZone: 'here-2' })];
  t.same(chooseSource(own, [own, ...others], 0), { kind: 'store' });
  t.end();
});

t.test('when the reader is dead or fails, another entry reads the store', t => {
  const zone = [member('a'), member('b')];
  const reader = zone.find(own => chooseSource(own, zone, 0).kind === 'store');
  const other = zone.find(own => own !== reader);
  if (reader === undefined || other === undefined) {
    t.fail('no entry reads the store');
    t.end();
    return;
  }
  const departed = { ...reader, state: 'dead' as const };
  t.equal(chooseSource(other, [departed, other], 0).kind, 'store');
  t.equal(chooseSource(other, zone, 1).kind, 'store');
  t.end();
});

t.test(
  'an agent follows an entry of its zone, then others, then the store',
  t => {
    const agent = member('agent', { role: 'agent' });
    const near = member('near');
    const far = member('far', { region: 'there', availabilityZone: 'there-1' });
    t.same(chooseSource(agent, [near, far], 0), {
      kind: 'peer',
      address: 'near:1',
    });
    t.same(chooseSource(agent, [far], 0), { kind: 'peer', address: 'far:1' });
    t.same(chooseSource(agent, [], 0), { kind: 'store' });
    t.same(chooseSource(agent, [near], 2), { kind: 'store' });
    t.end();
  },
);
