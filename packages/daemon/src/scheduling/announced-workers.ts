import type { MemberTable } from '@basilcourse/request-plane/membership/member-table';
import type { WorkerDescription } from '@basilcourse/shared-state/records/worker-description';

/** Returns the workers that are announced by the live agents on their VMs. */
export function announcedWorkers(
  members: MemberTable,
): readonly WorkerDescription[] {
  return members
    .ofRole('agent')
    .filter(({ member }) => member.state === 'alive' && member.worker !== '')
    .map(({ member }) => ({
      worker: member.worker,
      address: member.workerAddress,
      region: member.region,
      availabilityZone: member.availabilityZone,
      rack: member.rack,
      resources: {
        processors: member.processors,
        memoryGigabytes: member.memoryGigabytes,
        accelerators: member.accelerators,
      },
    }));
}
