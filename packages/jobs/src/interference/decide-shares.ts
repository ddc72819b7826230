import type { BatchDemand } from './batch-demand.js';
import type { InterferenceTable } from './interference-table.js';
import type { LocalInterference } from './local-interference.js';
import { allowedSlowdown } from './queue-model.js';

/** Part of its bound up to which a serving task's tail latency may rise. */
const BOUND_FRACTION = 0.88;

/** A smaller estimated slowdown by one task may be noise and is ignored. */
const MINIMUM_TASK_SLOWDOWN = 0.1;

/**
 * Below this share, a task costs more by the resources that it occupies than
 * its progress is worth.
 */
const MINIMUM_SHARE = 0.03;

/** Above this part of the bound, the queue of a serving task has to drain. */
const BACKLOG_BOUND_FRACTION = 0.9;

/**
 * Time for which a bound is exceeded before batch tasks are throttled. A
 * throttled task runs longer, so that throttling only delays its interference.
 */
const THROTTLE_DELAY_MILLISECONDS = 900;

/**
 * A bound exceeded for this long shows that the estimates are wrong, so that
 * all batch tasks are throttled to a share of 0.
 */
const THROTTLE_ALL_DELAY_MILLISECONDS = 1600;

/** Part of the tolerable slowdown that is used while a queue has to drain. */
const BACKLOG_SLOWDOWN_FRACTION = 0.15;

/** A serving task on a minion with batch tasks. */
export interface ServingTask {
  readonly image: string;
  /** Bound of its tail latency, in milliseconds. */
  readonly target: number;
  readonly tailLatency: number;
  readonly unloadedTailLatency: number;
  readonly load: number;
  /** The load is forecast and free of interference. */
  readonly forecast: boolean;
  /** Time for which the bound has been exceeded; 0 if it is met. */
  readonly strainedMilliseconds: number;
}

/**
 * Decides at which share of full speed the tasks of each batch image run, so
 * that serving tasks whose bounds stay exceeded recover. The slowdown that a
 * serving task tolerates is assigned to images in order of their interference,
 * the lowest first.
 *
 * @param batch - Demand by batch image.
 * @returns Share of full speed by batch image, 0 to 1.
 */
export function decideShares(
  serving: readonly ServingTask[],
  batch: ReadonlyMap<string, BatchDemand>,
  local: LocalInterference,
): ReadonlyMap<string, number> {
  const longestViolation = Math.max(
    0,
    ...serving.map(task => task.strainedMilliseconds),
  );
  if (longestViolation >= THROTTLE_ALL_DELAY_MILLISECONDS) {
    return new Map([...batch.keys()].map(image => [image, 0]));
  }
  const decided = new Map([...batch.keys()].map(image => [image, 1]));
  const limiting = serving.filter(
    ({ forecast, strainedMilliseconds }) =>
      forecast || strainedMilliseconds >= THROTTLE_DELAY_MILLISECONDS,
  );
  for (const task of limiting) {
    for (const [image, share] of sharesFor(task, batch, local)) {
      decided.set(image, Math.min(share, decided.get(image) ?? 1));
    }
  }
  return decided;
}

function sharesFor(
  task: ServingTask,
  batch: ReadonlyMap<string, BatchDemand>,
  local: LocalInterference,
): readonly (readonly [string, number])[] {
  const ascending = [...batch]
    .map(([image, { cores, coresPerTask }]) => {
      const perCore = task.forecast
        ? local.slowdownPerCore(task.image, image)
        : reliableSlowdown(task, image, coresPerTask, local.shared);
      return { image, perCore, total: cores * perCore };
    })
    .sort((first, second) => first.perCore - second.perCore);
  let remaining = tolerableSlowdown(task);
  return ascending.map(({ image, total }) => {
    const share = total <= remaining ? 1 : remaining / total;
    remaining = Math.max(0, remaining - total * share);
    return [image, share < MINIMUM_SHARE ? 0 : share] as const;
  });
}

/** Returns the slowdown per core; 0 if it is not known well or may be noise. */
function reliableSlowdown(
  { image }: ServingTask,
  batch: string,
  coresPerTask: number,
  table: InterferenceTable,
): number {
  const slowdown = table.reliableSlowdownPerCore(image, batch);
  return slowdown * coresPerTask < MINIMUM_TASK_SLOWDOWN ? 0 : slowdown;
}

/** Returns the added slowdown that a serving task tolerates at its load. */
function tolerableSlowdown({
  target,
  tailLatency,
  unloadedTailLatency,
  load,
}: ServingTask): number {
  const bound = target * BOUND_FRACTION;
  const tolerable = allowedSlowdown(bound, unloadedTailLatency, load) - 1;
  return tailLatency > target * BACKLOG_BOUND_FRACTION
    ? tolerable * BACKLOG_SLOWDOWN_FRACTION
    : tolerable;
}
