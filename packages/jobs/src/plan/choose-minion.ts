import type { TaskEntry } from '../state/task-entry.js';
import type { RoomView } from './room-view.js';

/** Share of its request that a filling task must find idle. */
const LEAST_IDLE_SHARE_FOR_FILLING = 0.7;

const RACK_BONUS = 4;

const SERVING_NEIGHBOUR_COST = 0.3;

const FILLING_NEIGHBOUR_COST = 0.15;

/**
 * Chooses the minion for a task: one with room, near its data, and with the
 * largest idle share; tasks that fill and tasks that serve are kept apart
 * where there is a choice. Answers the load of many equal minions that are
 * partly filled.
 */
export function chooseMinion(
  task: TaskEntry,
  service: string,
  rooms: readonly RoomView[],
  preferredRack: string,
): RoomView | undefined {
  let best: RoomView | undefined;
  let bestScore = Number.NEGATIVE_INFINITY;
  for (const room of rooms) {
    if (fits(task, service, room)) {
      const score = scoreOf(task, room, preferredRack);
      if (score > bestScore) {
        best = room;
        bestScore = score;
      }
    }
  }
  return best;
}

function fits(task: TaskEntry, service: string, room: RoomView): boolean {
  const { demand, specification } = task;
  const { description } = room.minion;
  const limit = specification.maximumPerMinion;
  return (
    description?.service === service &&
    demand.processorMillicores <= room.processorMillicores &&
    demand.memoryMegabytes <= room.memoryMegabytes &&
    demand.accelerators <= room.accelerators &&
    (specification.requiredLabel === '' ||
      description.labels.includes(specification.requiredLabel)) &&
    (limit === 0 || room.countOfStep(task) < limit) &&
    (!specification.filling || hasIdleTime(task, room))
  );
}

function hasIdleTime(task: TaskEntry, room: RoomView): boolean {
  const least =
    task.specification.processorMillicores * LEAST_IDLE_SHARE_FOR_FILLING;
  return room.idleMillicores >= least;
}

function scoreOf(
  task: TaskEntry,
  room: RoomView,
  preferredRack: string,
): number {
  const { description } = room.minion;
  const whole = Math.max(1, description?.capacity.processorMillicores ?? 1);
  const { specification } = task;
  let score = room.idleMillicores / whole;
  if (preferredRack !== '' && description?.labels.includes(preferredRack)) {
    score += RACK_BONUS;
  }
  if (specification.filling) {
    score -= SERVING_NEIGHBOUR_COST * room.servingCount;
  }
  if (specification.tailTargetMilliseconds > 0) {
    score -= FILLING_NEIGHBOUR_COST * room.fillingCount;
  }
  return score;
}
