import type { TaskEntry } from '../state/task-entry.js';
import type { CandidateMinion } from './candidate-minion.js';
import type { InterferencePredictor } from './interference-predictor.js';

const MILLICORES_PER_CORE = 1000;

/** A smaller slowdown by one task is not throttled. */
const NEGLIGIBLE_SLOWDOWN = 0.03;

/**
 * Returns the number of tail latency bounds that a task endangers on a minion.
 * A bound counts in proportion to the part of the tolerable slowdown used, and
 * at most once. Agents keep bounds of tasks whose load is forecast by throttling;
 * together they count as the share of its speed that a batch task would lose.
 */
export function countEndangeredBounds(
  task: TaskEntry,
  candidate: CandidateMinion,
  predictor: InterferencePredictor,
): number {
  const { filling, tailTargetMilliseconds } = task.specification;
  if (filling) {
    return countForBatch(task, candidate, predictor);
  }
  return tailTargetMilliseconds > 0
    ? countForServing(task, candidate, predictor)
    : 0;
}

function countForBatch(
  task: TaskEntry,
  candidate: CandidateMinion,
  predictor: InterferencePredictor,
): number {
  const { image, processorMillicores } = task.specification;
  const cores = processorMillicores / MILLICORES_PER_CORE;
  let endangered = 0;
  let share = 1;
  for (const serving of candidate.usage.serving) {
    const added = predictor.slowdown(serving.specification.image, image, cores);
    const tolerable = predictor.tolerableSlowdown(serving);
    if (predictor.isForecast(serving)) {
      const used = candidate.slowdownOf(serving.specification.image, predictor);
      share = Math.min(share, shareWithin(tolerable - used, added));
    } else {
      endangered += Math.min(1, added / tolerable);
    }
  }
  return endangered + 1 - share;
}

/** Returns the share of full speed at which a slowdown stays within a limit. */
function shareWithin(limit: number, added: number): number {
  return added <= NEGLIGIBLE_SLOWDOWN
    ? 1
    : Math.min(1, Math.max(0, limit / added));
}

function countForServing(
  task: TaskEntry,
  candidate: CandidateMinion,
  predictor: InterferencePredictor,
): number {
  const { image } = task.specification;
  const slowdown = candidate.slowdownOf(image, predictor);
  return Math.min(1, slowdown / predictor.tolerableSlowdown(task));
}
