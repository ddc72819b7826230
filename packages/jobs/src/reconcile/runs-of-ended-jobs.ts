import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';

/** Returns the tasks of ended jobs whose runs have no stop order yet. */
export function runsOfEndedJobs({ jobs }: JobTable): readonly TaskEntry[] {
  const running: TaskEntry[] = [];
  for (const job of jobs.values()) {
    if (job.ended !== undefined && job.hasAssignedTasks()) {
      running.push(...[...job.tasks()].filter(isRunning));
    }
  }
  return running;
}

function isRunning({ phase, stopping }: TaskEntry): boolean {
  return phase === 'assigned' && !stopping;
}
