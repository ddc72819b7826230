import type { TaskEntry } from '../state/task-entry.js';
import type { HarmEstimate } from './harm-estimate.js';
import type { RoomView } from './room-view.js';

const RACK_BONUS = 4;

/** Bounds that a task may endanger while it can wait for a better moment. */
const MOST_HARM_OF_PATIENT = 0.8;

/** Weight of the bounds that a task endangers against a minion's idle share. */
const HARM_COST = 3;

/** More endangered bounds make a minion no worse. */
const MOST_HARM = 4;

/** The fewer images serve on a minion, the more can fill beside them. */
const OTHER_IMAGE_COST = 1.2;

const MILLICORES_PER_CORE = 1000;

/**
 * Chooses the minion for a task: one with room, near its data, and with the
 * largest idle share; tasks that fill are kept from tasks that serve if their
 * images are known to harm each other. Answers the load of many equal minions that are
 * partly filled.
 *
 * @param mayWait - The task may wait for a moment at which it harms less.
 */
export function chooseMinion(
  task: TaskEntry,
  service: string,
  rooms: readonly RoomView[],
  preferredRack: string,
  harm: HarmEstimate,
  mayWait: boolean,
): RoomView | undefined {
  const mostHarm = mayWait ? MOST_HARM_OF_PATIENT : Number.POSITIVE_INFINITY;
  let best: RoomView | undefined;
  let bestScore = Number.NEGATIVE_INFINITY;
  for (const room of rooms) {
    if (fits(task, service, room) && harmOf(task, room, harm) <= mostHarm) {
      const score = scoreOf(task, room, preferredRack, harm);
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

/** A filling task finds its whole request idle; it waits otherwise. */
function hasIdleTime(task: TaskEntry, room: RoomView): boolean {
  return room.idleMillicores >= task.specification.processorMillicores;
}

function scoreOf(
  task: TaskEntry,
  room: RoomView,
  preferredRack: string,
  harm: HarmEstimate,
): number {
  const { description } = room.minion;
  const whole = Math.max(1, description?.capacity.processorMillicores ?? 1);
  const { specification } = task;
  let score = room.idleMillicores / whole;
  if (preferredRack !== '' && description?.labels.includes(preferredRack)) {
    score += RACK_BONUS;
  }
  if (specification.tailTargetMilliseconds > 0) {
    score -= OTHER_IMAGE_COST * otherImages(task, room);
  }
  return score - HARM_COST * Math.min(MOST_HARM, harmOf(task, room, harm));
}

/** Serving images on a minion beside the task's own. */
function otherImages(task: TaskEntry, room: RoomView): number {
  const others = new Set(
    room.serving.map(({ specification }) => specification.image),
  );
  others.delete(task.specification.image);
  return others.size;
}

/** Number of bounds that a task endangers on a minion; parts count. */
function harmOf(task: TaskEntry, room: RoomView, harm: HarmEstimate): number {
  const { image, filling, processorMillicores, tailTargetMilliseconds } =
    task.specification;
  if (filling) {
    const cores = processorMillicores / MILLICORES_PER_CORE;
    let sum = 0;
    for (const serving of room.serving) {
      const added = harm.slowdown(serving.specification.image, image, cores);
      sum += Math.min(1, added / harm.bearable(serving));
    }
    return sum;
  }
  return tailTargetMilliseconds > 0
    ? Math.min(1, fillingHarm(task, room, harm) / harm.bearable(task))
    : 0;
}

function fillingHarm(
  serving: TaskEntry,
  room: RoomView,
  harm: HarmEstimate,
): number {
  let sum = 0;
  for (const [image, millicores] of room.fillingMillicores) {
    const cores = millicores / MILLICORES_PER_CORE;
    sum += harm.slowdown(serving.specification.image, image, cores);
  }
  return sum;
}
