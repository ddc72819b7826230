import type { JobTable } from '../state/job-table.js';
import type { MinionEntry } from '../state/minion-entry.js';
import type { TaskEntry } from '../state/task-entry.js';

/**
 * Assigns a task to the minion that lists its last run. An order names a minion by
 * an identifier that its next incarnation may share, so the run may be on another
 * incarnation than the order was for.
 */
export function adoptListedRun(
  table: JobTable,
  minion: MinionEntry,
  task: TaskEntry,
  run: number,
  now: number,
): void {
  const isElsewhere =
    task.phase === 'assigned' && task.incarnation !== minion.incarnation;
  const isReleased = task.phase === 'waiting' && !task.specification.gang;
  if (task.run !== run || !(isElsewhere || isReleased)) {
    return;
  }
  table.minions.get(task.incarnation)?.removeRun(task.name, run);
  task.adopt(minion.incarnation, minion.fencingToken, now);
  minion.addRun(task, run);
  table.markChanged(task);
}
