import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';

/** A minion's clock may be this many times slower than ours. */
const SLOWEST_CLOCK_FACTOR = 1.02;

/** Covers the way of a grant, and a minion that kills late. */
const LAPSE_MARGIN_MILLISECONDS = 500;

/** A minion whose lease is over, and the tasks that it set free. */
export interface ExpiredMinion {
  readonly incarnation: string;
  readonly freed: readonly TaskEntry[];
}

/**
 * Forgets minions whose agents were not heard for longer than their leases
 * can last, and sets their tasks free.
 *
 * @param leaseMilliseconds - Longest lease that any leader grants.
 */
export function expireMinions(
  table: JobTable,
  leaseMilliseconds: number,
  now: number,
): readonly ExpiredMinion[] {
  const longest =
    leaseMilliseconds * SLOWEST_CLOCK_FACTOR + LAPSE_MARGIN_MILLISECONDS;
  return [...table.minions.values()]
    .filter(({ connected, heardAt }) => !connected && now - heardAt > longest)
    .map(({ incarnation }) => ({
      incarnation,
      freed: table.forgetMinion(incarnation, now),
    }));
}
