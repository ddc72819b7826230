import type { Attempt } from '@basilcourse/shared-state/scheduling/attempt';
import {
  isServiceTask,
  jobOf,
} from '@basilcourse/shared-state/scheduling/task-names';

import type { PlanPass } from './plan-pass.js';

/** Number of evictions after which a job is not preempted again. */
export const MAXIMUM_EVICTIONS = 5;

/** Cost of one earlier eviction, in seconds of lost progress. */
const SECONDS_PER_EVICTION = 120;

function costOf(pass: PlanPass, attempt: Attempt): number {
  const { views, scheduling } = pass.input;
  const report = views.get(attempt.worker)?.tasks.get(attempt.id);
  const ageSeconds = (pass.now - attempt.placedAt) / 1000;
  const lostSeconds = report?.uncheckpointedSeconds ?? ageSeconds;
  const evictions = scheduling.tasks.get(attempt.task)?.evictions ?? 0;
  return lostSeconds + evictions * SECONDS_PER_EVICTION;
}

function mayBeEvicted(pass: PlanPass, attempt: Attempt): boolean {
  const { scheduling, configuration } = pass.input;
  const evictions = scheduling.tasks.get(attempt.task)?.evictions ?? 0;
  const urgent = configuration.jobs.get(jobOf(attempt.task))?.urgent === true;
  return (
    !isServiceTask(attempt.task) &&
    !urgent &&
    !pass.isEvicting(attempt) &&
    attempt.state === 'assigned' &&
    evictions < MAXIMUM_EVICTIONS
  );
}

/** Batch attempts that may be evicted, in ascending order of cost. */
export function cheapestVictims(
  pass: PlanPass,
  attempts: readonly Attempt[],
): readonly Attempt[] {
  return attempts
    .filter(attempt => mayBeEvicted(pass, attempt))
    .map(attempt => ({ attempt, cost: costOf(pass, attempt) }))
    .sort((left, right) => left.cost - right.cost)
    .map(({ attempt }) => attempt);
}
