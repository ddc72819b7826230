import type { Configuration } from '@basilcourse/shared-state/configuration/configuration';
import type { Scheduling } from '@basilcourse/shared-state/scheduling/scheduling';
import { jobTask } from '@basilcourse/shared-state/scheduling/task-names';

import type { PlanInput } from './plan-input.js';
import type { WaitingJob } from './waiting-job.js';

function isFinished(
  configuration: Configuration,
  scheduling: Scheduling,
  job: string,
): boolean {
  const task = jobTask(job, configuration.jobsSince.get(job) ?? 0);
  return scheduling.tasks.get(task)?.finished === true;
}

/** Lists the jobs of a cell that may run and have no active attempt. */
export function waitingJobs(input: PlanInput): readonly WaitingJob[] {
  const { configuration, scheduling, cell } = input;
  const waiting: WaitingJob[] = [];
  for (const job of configuration.jobs.values()) {
    const task = jobTask(job.name, configuration.jobsSince.get(job.name) ?? 0);
    const progress = scheduling.tasks.get(task);
    const isFinishedOrActive =
      progress !== undefined && (progress.finished || progress.active !== '');
    if (isFinishedOrActive || scheduling.ownerCell(task) !== cell) {
      continue;
    }
    const isBlocked = job.after.some(
      predecessor => !isFinished(configuration, scheduling, predecessor),
    );
    if (!isBlocked) {
      waiting.push({ job, task, progress, readyAt: progress?.endedAt ?? 0 });
    }
  }
  return waiting;
}
