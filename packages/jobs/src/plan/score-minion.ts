import type { TaskEntry } from '../state/task-entry.js';
import type { CandidateMinion } from './candidate-minion.js';

/** Added to the score of a minion in the preferred rack. */
const RACK_BONUS = 4;

/** Weight of the share of a minion that serving tasks request. */
const SERVING_WEIGHT = 2;

/** Weight of the idle share; decides between minions of equal serving share. */
const IDLE_WEIGHT_OF_SERVING = 0.1;

/** Added where tasks of the same step serve already. */
const SAME_STEP_BONUS = 6;

/** Weight of the share of a step's remaining tasks that a minion has room for. */
const ROOM_WEIGHT = 4;

type TaskKind = 'serving' | 'filling' | 'plain';

type Preference = (
  candidate: CandidateMinion,
  totalMillicores: number,
  task: TaskEntry,
  remaining: number,
) => number;

/**
 * Score of a minion by kind of task. Serving tasks share minions, so that other
 * minions are left on which batch tasks do not interfere with a serving task; the
 * tasks of a step, whose load swings alike, share as few as possible.
 */
const PREFERENCES: Readonly<Record<TaskKind, Preference>> = {
  serving: (candidate, totalMillicores, task, remaining) =>
    (SERVING_WEIGHT * candidate.usage.servingMillicores -
      IDLE_WEIGHT_OF_SERVING * candidate.idleMillicores) /
      totalMillicores +
    togetherness(candidate, task, remaining),
  filling: idleShare,
  plain: idleShare,
};

/** Returns how well a minion keeps the tasks of a step together. */
function togetherness(
  candidate: CandidateMinion,
  task: TaskEntry,
  remaining: number,
): number {
  if (candidate.usage.countTasksOfStep(task) > 0) {
    return SAME_STEP_BONUS;
  }
  const room = Math.min(remaining, roomFor(candidate, task));
  return (ROOM_WEIGHT * room) / remaining;
}

/** Returns how many tasks like this one fit on a minion. */
function roomFor(candidate: CandidateMinion, task: TaskEntry): number {
  const { demand, specification } = task;
  const limit = specification.maximumPerMinion;
  return Math.floor(
    Math.min(
      candidate.processorMillicores / Math.max(1, demand.processorMillicores),
      candidate.memoryMegabytes / Math.max(1, demand.memoryMegabytes),
      limit === 0 ? Number.POSITIVE_INFINITY : limit,
    ),
  );
}

/**
 * Scores a minion for a task by its load and its rack; higher is better.
 *
 * @param remaining - Tasks of the step that are placed in this round.
 */
export function scoreMinion(
  task: TaskEntry,
  candidate: CandidateMinion,
  preferredRack: string,
  remaining: number,
): number {
  const { description } = candidate.minion;
  const totalMillicores = Math.max(
    1,
    description?.capacity.processorMillicores ?? 1,
  );
  const isInPreferredRack =
    preferredRack !== '' && description?.labels.includes(preferredRack);
  const preference = PREFERENCES[kindOf(task)](
    candidate,
    totalMillicores,
    task,
    remaining,
  );
  return preference + (isInPreferredRack ? RACK_BONUS : 0);
}

function kindOf({ specification }: TaskEntry): TaskKind {
  if (specification.filling) {
    return 'filling';
  }
  return specification.tailTargetMilliseconds > 0 ? 'serving' : 'plain';
}

function idleShare(
  candidate: CandidateMinion,
  totalMillicores: number,
): number {
  return candidate.idleMillicores / totalMillicores;
}
