import type { MemberRecord } from '@basilcourse/wire/membership_pb';
import {
  MemberRecordSchema,
  MemberState as StateCode,
} from '@basilcourse/wire/membership_pb';
import { create } from '@bufbuild/protobuf';

import type { Member, MemberState } from './member.js';

const codesByState: Readonly<Record<MemberState, StateCode>> = {
  alive: StateCode.ALIVE,
  suspect: StateCode.SUSPECT,
  leaving: StateCode.LEAVING,
  dead: StateCode.DEAD,
};

const statesByCode: Readonly<Record<StateCode, MemberState>> = {
  [StateCode.UNSPECIFIED]: 'dead',
  [StateCode.ALIVE]: 'alive',
  [StateCode.SUSPECT]: 'suspect',
  [StateCode.LEAVING]: 'leaving',
  [StateCode.DEAD]: 'dead',
};

/** Converts a member to its message. */
export function memberRecordOf(member: Member): MemberRecord {
  return create(MemberRecordSchema, {
    memberId: member.id,
    instance: member.instance,
    incarnation: BigInt(member.incarnation),
    role: member.role,
    address: member.address,
    operatorsAddress: member.operatorsAddress,
    region: member.region,
    availabilityZone: member.availabilityZone,
    rack: member.rack,
    state: codesByState[member.state],
    workerAddress: member.workerAddress,
    worker: member.worker,
    processors: member.processors,
    memoryGigabytes: member.memoryGigabytes,
    accelerators: member.accelerators,
    upstreams: member.upstreams.map(({ service, attempt, slots }) => ({
      service,
      attemptId: attempt,
      slots,
    })),
    suspectedBy: [...member.suspectedBy],
  });
}

/** Converts a message to the member that it describes. */
export function memberOf(record: MemberRecord): Member {
  return {
    id: record.memberId,
    instance: record.instance,
    incarnation: Number(record.incarnation),
    role: record.role === 'entry' ? 'entry' : 'agent',
    address: record.address,
    operatorsAddress: record.operatorsAddress,
    region: record.region,
    availabilityZone: record.availabilityZone,
    rack: record.rack,
    state: statesByCode[record.state],
    workerAddress: record.workerAddress,
    worker: record.worker,
    processors: record.processors,
    memoryGigabytes: record.memoryGigabytes,
    accelerators: record.accelerators,
    upstreams: record.upstreams.map(({ service, attemptId, slots }) => ({
      service,
      attempt: attemptId,
      slots,
    })),
    suspectedBy: record.suspectedBy,
  };
}
