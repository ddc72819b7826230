import type { TaskEntry } from '../state/task-entry.js';
import type { HarmEstimate } from './harm-estimate.js';
import type { RoomView } from './room-view.js';

const MILLICORES_PER_CORE = 1000;

/** Number of bounds that a task endangers on a minion; parts count. */
export function harmOf(
  task: TaskEntry,
  room: RoomView,
  harm: HarmEstimate,
): number {
  const { filling, tailTargetMilliseconds } = task.specification;
  if (filling) {
    return harmToServing(task, room, harm);
  }
  return tailTargetMilliseconds > 0 ? harmByFilling(task, room, harm) : 0;
}

function harmToServing(
  task: TaskEntry,
  room: RoomView,
  harm: HarmEstimate,
): number {
  const { image, processorMillicores } = task.specification;
  const cores = processorMillicores / MILLICORES_PER_CORE;
  let sum = 0;
  for (const serving of room.serving) {
    const added = harm.slowdown(serving.specification.image, image, cores);
    sum += Math.min(1, added / harm.bearable(serving));
  }
  return sum;
}

function harmByFilling(
  task: TaskEntry,
  room: RoomView,
  harm: HarmEstimate,
): number {
  let sum = 0;
  for (const [image, millicores] of room.fillingMillicores) {
    const cores = millicores / MILLICORES_PER_CORE;
    sum += harm.slowdown(task.specification.image, image, cores);
  }
  return Math.min(1, sum / harm.bearable(task));
}
