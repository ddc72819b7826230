import type { TaskEntry } from '../state/task-entry.js';
import type { RoomView } from './room-view.js';

const RACK_BONUS = 4;

/** Weight of the share of a minion that serves, for one more serving task. */
const SERVING_WEIGHT = 2;

/** Weight of a minion's idle share where as much serves on several. */
const IDLE_WEIGHT_OF_SERVING = 0.1;

type TaskKind = 'serving' | 'filling' | 'plain';

type Preference = (room: RoomView, wholeMillicores: number) => number;

/**
 * What makes a minion good for a task of each kind. Serving tasks share
 * minions, so that filling ones find others on which they harm nobody.
 */
const PREFERENCES: Readonly<Record<TaskKind, Preference>> = {
  serving: (room, whole) =>
    (SERVING_WEIGHT * room.servingMillicores -
      IDLE_WEIGHT_OF_SERVING * room.idleMillicores) /
    whole,
  filling: idleShare,
  plain: idleShare,
};

/** Scores a minion for a task by room and place; higher is better. */
export function scoreMinion(
  task: TaskEntry,
  room: RoomView,
  preferredRack: string,
): number {
  const { description } = room.minion;
  const whole = Math.max(1, description?.capacity.processorMillicores ?? 1);
  const isNear =
    preferredRack !== '' && description?.labels.includes(preferredRack);
  const preference = PREFERENCES[kindOf(task)](room, whole);
  return preference + (isNear ? RACK_BONUS : 0);
}

function kindOf({ specification }: TaskEntry): TaskKind {
  if (specification.filling) {
    return 'filling';
  }
  return specification.tailTargetMilliseconds > 0 ? 'serving' : 'plain';
}

function idleShare(room: RoomView, wholeMillicores: number): number {
  return room.idleMillicores / wholeMillicores;
}
