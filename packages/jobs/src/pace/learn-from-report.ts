import type { BoundedMap } from '@basilcourse/foundation/util/bounded-map';

import type { RunningTask } from '../model/running-task.js';
import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';
import type { HarmLearner } from './harm-learner.js';
import type { LoadWatch } from './load-watch.js';
import { loadOf, slowdownOf } from './queue-model.js';

const MILLICORES_PER_CORE = 1000;

/** Runs with this percentage are at work. */
const AT_WORK_PERCENT = 100;

/** A tail that falls from above this part of its bound outlasts its cause. */
const LASTING_STRAIN = 0.7;

/** Above this many times its bound a tail no longer tells the slowdown. */
const OVERLOADED = 1.5;

interface Listed {
  readonly entry: TaskEntry;
  readonly running: RunningTask;
}

/**
 * Learns loads and harm from what one minion lists.
 *
 * @param tailsBefore - Tails of the report before, by task; kept up here.
 */
export function learnFromReport(
  table: JobTable,
  learner: HarmLearner,
  loads: LoadWatch,
  tailsBefore: BoundedMap<number>,
  running: readonly RunningTask[],
  now: number,
): void {
  const listed = running.flatMap(row => {
    const entry = table.task(row.task);
    return entry === undefined ? [] : [{ entry, running: row }];
  });
  const serving = listed.filter(isServing);
  const cores = busyCores(listed);
  for (const { entry, running: row } of serving) {
    const { image, tailTargetMilliseconds: bound } = entry.specification;
    const { jobIdentifier: job, name: task } = entry;
    loads.note({ job, image, task, tail: row.gauge, bound }, now);
    const before = tailsBefore.get(task) ?? 0;
    tailsBefore.set(task, row.gauge);
    const lasting = row.gauge > LASTING_STRAIN * bound && row.gauge < before;
    const floor = loads.floor(job);
    if (cores.size > 0 && !lasting && floor > 0) {
      const load = loadOf(loads.quietTail(job, now), floor);
      const slowdown = slowdownOf(row.gauge, floor, load);
      const overloaded = row.gauge > OVERLOADED * bound;
      learner.observe(image, slowdown, overloaded, cores);
    }
  }
}

function isServing({ entry, running }: Listed): boolean {
  return (
    entry.specification.tailTargetMilliseconds > 0 &&
    running.percent >= AT_WORK_PERCENT &&
    running.gauge > 0
  );
}

function busyCores(listed: readonly Listed[]): ReadonlyMap<string, number> {
  const cores = new Map<string, number>();
  for (const { entry, running } of listed) {
    const { filling, image } = entry.specification;
    if (filling && running.gauge > 0) {
      const amount = running.gauge / MILLICORES_PER_CORE;
      cores.set(image, (cores.get(image) ?? 0) + amount);
    }
  }
  return cores;
}
