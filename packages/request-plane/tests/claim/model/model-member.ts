import type { Member } from '../../../src/membership/member.js';

/** A live process whose name is also its address. */
export function modelMember(name: string, role: Member['role']): Member {
  return {
    id: name,
    instance: name,
    incarnation: 1,
    role,
    address: name,
    operatorsAddress: name,
    region: 'here',
    availabilityZone: 'here-1',
    rack: 'rack-1',
    state: 'alive',
    workerAddress: name,
    worker: role === 'agent' ? name : '',
    processors: 16,
    memoryGigabytes: 64,
    accelerators: 0,
    upstreams: [],
    suspectedBy: [],
  };
}
