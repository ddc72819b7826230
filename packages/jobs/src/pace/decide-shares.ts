import type { FillingDemand } from './filling-demand.js';
import type { HarmTable } from './harm-table.js';
import { allowedSlowdown } from './queue-model.js';

/** Part of its bound up to which a serving task's tail may be driven. */
const BOUND_PART = 0.88;

/** Slowdown by one task below which an estimate is as good as noise. */
const LEAST_TASK_HARM = 0.1;

/** A share below this does more harm by its room than good by its work. */
const SMALLEST_SHARE = 0.03;

/** Strain above which a queue has to empty first. */
const HIGH_STRAIN = 0.9;

/**
 * A bound is broken for so long before neighbours are held back: work that is
 * slowed down stays longer, and does its harm later.
 */
const PATIENCE_MILLISECONDS = 900;

/** A bound broken for so long means that the estimates miss the cause. */
const STOP_ALL_MILLISECONDS = 1600;

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
  /** Time for which the bound has been broken; 0 if it is kept. */
  readonly strainedMilliseconds: number;
}

/**
 * Decides at which share of their speed the tasks of each filling image work,
 * so that serving tasks whose bounds stay broken recover. What a serving task bears goes to the images that harm it least.
 *
 * @param filling - By image.
 */
export function decideShares(
  serving: readonly ServingTask[],
  filling: ReadonlyMap<string, FillingDemand>,
  table: HarmTable,
): ReadonlyMap<string, number> {
  const longest = Math.max(
    0,
    ...serving.map(task => task.strainedMilliseconds),
  );
  if (longest >= STOP_ALL_MILLISECONDS) {
    return new Map([...filling.keys()].map(image => [image, 0]));
  }
  const decided = new Map([...filling.keys()].map(image => [image, 1]));
  const strained = serving.filter(
    task => task.strainedMilliseconds >= PATIENCE_MILLISECONDS,
  );
  for (const task of strained) {
    for (const [image, share] of sharesBeside(task, filling, table)) {
      decided.set(image, Math.min(share, decided.get(image) ?? 1));
    }
  }
  return decided;
}

function sharesBeside(
  task: ServingTask,
  filling: ReadonlyMap<string, FillingDemand>,
  table: HarmTable,
): readonly (readonly [string, number])[] {
  const ascending = [...filling]
    .map(([image, { cores, coresPerTask }]) => {
      const found = table.sureHarm(task.image, image);
      const perCore = found * coresPerTask < LEAST_TASK_HARM ? 0 : found;
      return { image, perCore, whole: cores * perCore };
    })
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
