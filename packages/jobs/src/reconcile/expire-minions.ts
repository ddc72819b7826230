import type { JobTable } from '../state/job-table.js';
import type { MinionEntry } from '../state/minion-entry.js';
import type { MinionRun } from '../state/minion-run.js';
import type { TaskEntry } from '../state/task-entry.js';
import type { LeaseBounds } from './lease-bounds.js';

/** A minion whose lease has expired, and the tasks released from it. */
export interface ExpiredMinion {
  readonly incarnation: string;
  readonly releasedTasks: readonly TaskEntry[];
  /** Time since the last message from the agent. */
  readonly silentMilliseconds: number;
}

/**
 * Releases the tasks of minions whose agents have sent nothing for longer than
 * their runs can last, and removes the minions that have no run left.
 */
export function expireMinions(
  table: JobTable,
  bounds: LeaseBounds,
  now: number,
): readonly ExpiredMinion[] {
  const expired: ExpiredMinion[] = [];
  for (const minion of table.minions.values()) {
    const silentMilliseconds = now - minion.lastContactAt;
    if (minion.connected || silentMilliseconds <= bounds.grantedMilliseconds) {
      continue;
    }
    const { incarnation } = minion;
    const releasedTasks = table.releaseRuns(
      incarnation,
      run => mayGoOn(minion, run, bounds, now),
      now,
    );
    if (releasedTasks.length > 0 || !table.minions.has(incarnation)) {
      expired.push({ incarnation, releasedTasks, silentMilliseconds });
    }
  }
  return expired;
}

function mayGoOn(
  minion: MinionEntry,
  { task, run }: MinionRun,
  bounds: LeaseBounds,
  now: number,
): boolean {
  const isCurrent = task.isOn(minion.incarnation, run);
  if (isCurrent && task.confirmed) {
    return false;
  }
  if (isCurrent && task.firstListedAt === 0) {
    return now - minion.lastContactAt <= bounds.unlistedMilliseconds;
  }
  return now <= minion.inheritedLeaseUntil;
}
