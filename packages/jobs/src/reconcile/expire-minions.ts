import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';

/** The clock of a minion may be slower than the leader's by this factor. */
const CLOCK_DRIFT_FACTOR = 1.02;

/** Covers the transit of a lease grant and a minion that stops runs late. */
const EXPIRY_MARGIN_MILLISECONDS = 500;

/** A minion whose lease has expired, and the tasks released from it. */
export interface ExpiredMinion {
  readonly incarnation: string;
  readonly freed: readonly TaskEntry[];
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
  const longest =
    leaseMilliseconds * CLOCK_DRIFT_FACTOR + EXPIRY_MARGIN_MILLISECONDS;
  return [...table.minions.values()]
    .filter(
      ({ connected, lastContactAt }) =>
        !connected && now - lastContactAt > longest,
    )
    .map(({ incarnation }) => ({
      incarnation,
      freed: table.removeMinion(incarnation, now),
    }));
}
