import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import { expireMinions } from '@basilcourse/jobs/reconcile/expire-minions';
import type { LeaseBounds } from '@basilcourse/jobs/reconcile/lease-bounds';
import type { JobTable } from '@basilcourse/jobs/state/job-table';

import { nameTasks } from './name-tasks.js';

/** Releases the tasks of minions whose leases are over, and logs them. */
export function releaseExpired(
  table: JobTable,
  bounds: LeaseBounds,
  logger: PartLogger,
  now: number,
): void {
  for (const expired of expireMinions(table, bounds, now)) {
    const { incarnation, releasedTasks, silentMilliseconds } = expired;
    logger.warn('The lease of a silent minion is over.', {
      incarnation,
      freed: releasedTasks.length,
      runs: nameTasks(releasedTasks),
      silentMilliseconds: Math.round(silentMilliseconds),
    });
  }
}
