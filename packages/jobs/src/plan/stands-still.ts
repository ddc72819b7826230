import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';

/**
 * Returns whether no work goes on while a task waits: always for a long-running
 * task, otherwise if no other task of its occurrence has a run on a minion that
 * answers.
 */
export function standsStill(table: JobTable, task: TaskEntry): boolean {
  const job = table.jobs.get(task.jobIdentifier);
  if (job === undefined || task.specification.longRunning) {
    return true;
  }
  const tallies = job.talliesOf(task.occurrence);
  if (tallies.every(tally => tally.count('assigned') === 0)) {
    return true;
  }
  const steps = job.occurrences.get(task.occurrence) ?? [];
  return !steps.some((tasks, step) => {
    const hasRuns = (tallies[step]?.count('assigned') ?? 0) > 0;
    return hasRuns && tasks.some(other => goesOn(table, other));
  });
}

function goesOn(table: JobTable, task: TaskEntry): boolean {
  const minion = table.minions.get(task.incarnation);
  return (
    task.phase === 'assigned' &&
    minion?.connected === true &&
    minion.description?.silent !== true
  );
}
