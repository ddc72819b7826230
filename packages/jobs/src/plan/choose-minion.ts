import type { TaskEntry } from '../state/task-entry.js';
import type { CandidateMinion } from './candidate-minion.js';
import type { ChosenMinion } from './chosen-minion.js';
import { countEndangeredBounds } from './count-endangered-bounds.js';
import type { InterferencePredictor } from './interference-predictor.js';
import { scoreMinion } from './score-minion.js';

/** Number of bounds that a batch task may endanger while it can still wait. */
const MAXIMUM_ENDANGERED_BOUNDS_WHILE_WAITING = 0.8;

/** Weight of an endangered bound; the weight of a minion's idle share is 1. */
const ENDANGERED_BOUND_WEIGHT = 3;

/** Endangered bounds beyond this number do not lower the score of a minion. */
const MAXIMUM_SCORED_BOUNDS = 4;

/**
 * Chooses the minion with enough free capacity that scores best for the kind of
 * task, prefers the given rack and keeps batch tasks away from serving tasks
 * that they are estimated to slow down. Intended for many equal minions that
 * are partly occupied.
 *
 * @param mayWait - A batch task may wait for a moment with less interference.
 * @returns `undefined` if no minion is suitable now.
 */
export function chooseMinion(
  task: TaskEntry,
  service: string,
  candidates: readonly CandidateMinion[],
  preferredRack: string,
  predictor: InterferencePredictor,
  mayWait: boolean,
): ChosenMinion | undefined {
  const canWait = mayWait && task.specification.filling;
  const maximumEndangeredBounds = canWait
    ? MAXIMUM_ENDANGERED_BOUNDS_WHILE_WAITING
    : Number.POSITIVE_INFINITY;
  let best: ChosenMinion | undefined;
  let bestScore = Number.NEGATIVE_INFINITY;
  for (const candidate of candidates) {
    if (!fits(task, service, candidate)) {
      continue;
    }
    const endangeredBounds = countEndangeredBounds(task, candidate, predictor);
    const score =
      scoreMinion(task, candidate, preferredRack) -
      ENDANGERED_BOUND_WEIGHT *
        Math.min(MAXIMUM_SCORED_BOUNDS, endangeredBounds);
    if (endangeredBounds <= maximumEndangeredBounds && score > bestScore) {
      best = { candidate, endangeredBounds };
      bestScore = score;
    }
  }
  return best;
}

function fits(
  task: TaskEntry,
  service: string,
  candidate: CandidateMinion,
): boolean {
  const { demand, specification } = task;
  const { description } = candidate.minion;
  const limit = specification.maximumPerMinion;
  return (
    description?.service === service &&
    demand.processorMillicores <= candidate.processorMillicores &&
    demand.memoryMegabytes <= candidate.memoryMegabytes &&
    demand.accelerators <= candidate.accelerators &&
    (specification.requiredLabel === '' ||
      description.labels.includes(specification.requiredLabel)) &&
    (limit === 0 || candidate.countTasksOfStep(task) < limit) &&
    (!specification.filling || hasIdleProcessorTime(task, candidate))
  );
}

/** A batch task starts only where all the processor time it requests is idle. */
function hasIdleProcessorTime(
  task: TaskEntry,
  candidate: CandidateMinion,
): boolean {
  return candidate.idleMillicores >= task.specification.processorMillicores;
}
