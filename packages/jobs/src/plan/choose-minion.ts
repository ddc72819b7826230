import type { TaskEntry } from '../state/task-entry.js';
import type { ChosenMinion } from './chosen-minion.js';
import type { HarmEstimate } from './harm-estimate.js';
import { harmOf } from './harm-of.js';
import type { RoomView } from './room-view.js';
import { scoreMinion } from './score-minion.js';

/** Bounds that a task may endanger while it can wait for a better moment. */
const MOST_HARM_OF_PATIENT = 0.8;

/** Weight of the bounds that a task endangers against a minion's idle share. */
const HARM_COST = 3;

/** More endangered bounds make a minion no worse. */
const MOST_HARM = 4;

/**
 * Chooses the minion for a task: one with room that is best for its kind, near
 * its data; tasks that fill are kept from tasks that serve if their images are
 * known to harm each other. Answers the load of many equal minions that are
 * partly filled.
 *
 * @param mayWait - A filling task may wait for a moment at which it harms less.
 */
export function chooseMinion(
  task: TaskEntry,
  service: string,
  rooms: readonly RoomView[],
  preferredRack: string,
  harm: HarmEstimate,
  mayWait: boolean,
): ChosenMinion | undefined {
  const waits = mayWait && task.specification.filling;
  const mostHarm = waits ? MOST_HARM_OF_PATIENT : Number.POSITIVE_INFINITY;
  let best: ChosenMinion | undefined;
  let bestScore = Number.NEGATIVE_INFINITY;
  for (const room of rooms) {
    if (!fits(task, service, room)) {
      continue;
    }
    const endangeredBounds = harmOf(task, room, harm);
    const score =
      scoreMinion(task, room, preferredRack) -
      HARM_COST * Math.min(MOST_HARM, endangeredBounds);
    if (endangeredBounds <= mostHarm && score > bestScore) {
      best = { room, endangeredBounds };
      bestScore = score;
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
