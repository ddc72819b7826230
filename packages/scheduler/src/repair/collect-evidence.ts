import type { Scheduling } from '@basilcourse/shared-state/scheduling/scheduling';
import type { TaskProgress } from '@basilcourse/shared-state/scheduling/task-progress';

import type { WorkerEvidence } from './worker-evidence.js';

/** Age at which failures are no longer counted. */
const MAXIMUM_FAILURE_AGE_MILLISECONDS = 120_000;

const NO_EVIDENCE: WorkerEvidence = { failedTasks: 0, failedOnlyHere: 0 };

function isRecent(progress: TaskProgress, now: number): boolean {
  return (
    progress.failedOn.length > 0 &&
    now - progress.endedAt < MAXIMUM_FAILURE_AGE_MILLISECONDS
  );
}

/** Counts the recent failures of tasks by worker. */
export function collectEvidence(
  scheduling: Scheduling,
  now: number,
): ReadonlyMap<string, WorkerEvidence> {
  const evidence = new Map<string, WorkerEvidence>();
  for (const progress of scheduling.tasks.values()) {
    if (!isRecent(progress, now)) {
      continue;
    }
    const workers = new Set(progress.failedOn);
    for (const worker of workers) {
      const previous = evidence.get(worker) ?? NO_EVIDENCE;
      evidence.set(worker, {
        failedTasks: previous.failedTasks + 1,
        failedOnlyHere: previous.failedOnlyHere + (workers.size === 1 ? 1 : 0),
      });
    }
  }
  return evidence;
}
