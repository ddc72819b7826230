import type { HarmTable } from './harm-table.js';
import type { FillingCores } from './learn-harm.js';
import { allowedSlowdown } from './queue-model.js';

/** Part of its bound up to which a serving task's tail may be driven. */
const BOUND_PART = 0.88;

/** A share below this does more harm by its room than good by its work. */
const SMALLEST_SHARE = 0.03;

/** Strain above which a queue has to empty first. */
const HIGH_STRAIN = 0.9;

/** Part of the allowed harm while a queue has to empty. */
const EMPTYING_PART = 0.15;

/** A serving task beside filling ones. */
export interface ServingTask {
  readonly image: string;
  /** Bound of its tail, in milliseconds. */
  readonly target: number;
  readonly tail: number;
  readonly floor: number;
  readonly load: number;
}

/**
 * Decides at which share of their speed the tasks of each filling image work,
 * so that no serving task is slowed down beyond its bound at its present load.
 * What a serving task bears goes to the images that harm it least.
 *
 * @param cores - Busy cores that the images would have at full speed.
 */
export function decideShares(
  serving: readonly ServingTask[],
  cores: FillingCores,
  table: HarmTable,
): ReadonlyMap<string, number> {
  const decided = new Map([...cores.keys()].map(image => [image, 1]));
  for (const task of serving) {
    for (const [image, share] of sharesBeside(task, cores, table)) {
      decided.set(image, Math.min(share, decided.get(image) ?? 1));
    }
  }
  return decided;
}

function sharesBeside(
  task: ServingTask,
  cores: FillingCores,
  table: HarmTable,
): readonly (readonly [string, number])[] {
  const ascending = [...cores]
    .map(([image, amount]) => ({
      image,
      perCore: table.sureHarm(task.image, image),
      whole: amount * table.sureHarm(task.image, image),
    }))
    .sort((first, second) => first.perCore - second.perCore);
  let left = bearableHarm(task);
  return ascending.map(({ image, whole }) => {
    const share = whole <= left ? 1 : left / whole;
    left = Math.max(0, left - whole * share);
    return [image, share < SMALLEST_SHARE ? 0 : share] as const;
  });
}

/** Slowdown that a serving task bears at its present load. */
function bearableHarm({ target, tail, floor, load }: ServingTask): number {
  const bound = target * BOUND_PART;
  const bearable = allowedSlowdown(bound, floor, load) - 1;
  return tail > target * HIGH_STRAIN ? bearable * EMPTYING_PART : bearable;
}
