import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';

/** The clock of a minion may be slower than the leader's by this factor. */
const CLOCK_DRIFT_FACTOR = 1.02;

/** Covers the transit time of a lease grant and the late stop of a run. */
const EXPIRY_MARGIN_MILLISECONDS = 500;

/** A minion whose lease has expired, and the tasks released from it. */
export interface ExpiredMinion {
  readonly incarnation: string;
  readonly releasedTasks: readonly TaskEntry[];
  /** Time since the last message from the agent. */
  readonly silentMilliseconds: number;
}

/**
 * Removes minions whose agents have sent nothing for longer than a lease can
 * last, and releases their tasks.
 *
 * @param leaseMilliseconds - Longest lease that any leader grants.
 */
export function expireMinions(
  table: JobTable,
  leaseMilliseconds: number,
  now: number,
): readonly ExpiredMinion[] {
  const expiryMilliseconds =
    leaseMilliseconds * CLOCK_DRIFT_FACTOR + EXPIRY_MARGIN_MILLISECONDS;
  return [...table.minions.values()]
    .filter(
      ({ connected, lastContactAt }) =>
        !connected && now - lastContactAt > expiryMilliseconds,
    )
    .map(({ incarnation, lastContactAt }) => ({
      incarnation,
      releasedTasks: table.removeMinion(incarnation, now),
      silentMilliseconds: now - lastContactAt,
    }));
}
