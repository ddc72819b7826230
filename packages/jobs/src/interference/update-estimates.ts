import type { BoundedMap } from '@basilcourse/foundation/util/bounded-map';
import { memo } from '@basilcourse/foundation/util/memo';

import type { RunningTask } from '../model/running-task.js';
import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';
import type { InterferenceEstimator } from './interference-estimator.js';
import type { LoadMonitor } from './load-monitor.js';
import { slowdownOf } from './queue-model.js';

const MILLICORES_PER_CORE = 1000;

/** Progress at which a long-running task handles requests. */
const READY_PERCENT = 100;

/**
 * A tail latency that falls from above this part of its bound comes from a
 * backlog whose cause has ended, and does not show the present slowdown.
 */
const BACKLOG_BOUND_FRACTION = 0.7;

/** Above this many times its bound, a tail latency counts as an overload. */
const OVERLOAD_BOUND_FACTOR = 1.5;

interface ListedTask {
  readonly entry: TaskEntry;
  readonly running: RunningTask;
}

/**
 * Updates the estimates of loads and interference from what one minion lists.
 *
 * @param previousTailLatencies - Tail latencies in milliseconds of the previous
 * report, by task; replaced by those of this report.
 */
export function updateEstimates(
  table: JobTable,
  estimator: InterferenceEstimator,
  loads: LoadMonitor,
  previousTailLatencies: BoundedMap<number>,
  running: readonly RunningTask[],
  now: number,
): void {
  const listed = running.flatMap(row => {
    const entry = table.task(row.task);
    return entry === undefined ? [] : [{ entry, running: row }];
  });
  const serving = listed.filter(isServing);
  const cores = busyCores(listed);
  const expectedSlowdowns = new Map<string, number>();
  const measuredLoads = new Map<string, number>();
  for (const { entry, running: row } of serving) {
    const { image, tailTargetMilliseconds: bound } = entry.specification;
    const { jobIdentifier: job, name: task } = entry;
    const expectedSlowdown = memo(
      expectedSlowdowns,
      image,
      () => 1 + estimator.expectedSlowdown(image, cores),
    );
    const tailLatency = row.gauge;
    loads.record(
      { job, image, task, tailLatency, bound, expectedSlowdown },
      now,
    );
    const previous = previousTailLatencies.get(task) ?? 0;
    previousTailLatencies.set(task, row.gauge);
    const draining =
      row.gauge > BACKLOG_BOUND_FRACTION * bound && row.gauge < previous;
    const unloadedTailLatency = loads.unloadedTailLatency(job);
    if (cores.size > 0 && !draining && unloadedTailLatency > 0) {
      const load = memo(measuredLoads, job, () => loads.measuredLoad(job, now));
      const slowdown = slowdownOf(row.gauge, unloadedTailLatency, load);
      const overloaded = row.gauge > OVERLOAD_BOUND_FACTOR * bound;
      estimator.observe(image, slowdown, overloaded, cores);
    }
  }
}

function isServing({ entry, running }: ListedTask): boolean {
  return (
    entry.specification.tailTargetMilliseconds > 0 &&
    running.percent >= READY_PERCENT &&
    running.gauge > 0
  );
}

function busyCores(listed: readonly ListedTask[]): ReadonlyMap<string, number> {
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
