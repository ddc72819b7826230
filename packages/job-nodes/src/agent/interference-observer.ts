import type { BatchCores } from '@basilcourse/jobs/interference/batch-cores';
import type { InterferenceTable } from '@basilcourse/jobs/interference/interference-table';
import { LocalInterference } from '@basilcourse/jobs/interference/local-interference';
import { slowdownOf } from '@basilcourse/jobs/interference/queue-model';

import type { ListedServingTask } from './listed-serving-task.js';

/** A falling tail latency above this part of the bound shows a backlog. */
const BACKLOG_BOUND_FRACTION = 0.7;

/** Estimates the interference on the minion from its newest measurements. */
export class InterferenceObserver {
  public readonly estimates: LocalInterference;

  /** Tail latencies of the previous measurement, by task. */
  private previous: ReadonlyMap<string, number> = new Map();

  public constructor(shared: InterferenceTable) {
    this.estimates = new LocalInterference(shared);
  }

  /**
   * Applies one measurement of the tasks whose loads are forecast.
   *
   * @param cores - Busy cores of each batch image during the measurement.
   */
  public update(
    serving: readonly ListedServingTask[],
    cores: BatchCores,
  ): void {
    const slowdowns = new Map<string, number[]>();
    for (const task of serving) {
      if (task.forecast && !this.isBacklog(task)) {
        const { image, tailLatency, unloadedTailLatency, measuredLoad } = task;
        const values = slowdowns.get(image) ?? [];
        slowdowns.set(image, values);
        values.push(slowdownOf(tailLatency, unloadedTailLatency, measuredLoad));
      }
    }
    for (const [image, values] of slowdowns) {
      this.estimates.observe(image, medianOf(values) - 1, cores);
    }
    this.estimates.update();
    this.previous = new Map(
      serving.map(({ task, tailLatency }) => [task, tailLatency]),
    );
  }

  /** Forgets what was measured on an earlier incarnation. */
  public reset(): void {
    this.estimates.reset();
    this.previous = new Map();
  }

  private isBacklog({ task, tailLatency, target }: ListedServingTask): boolean {
    return (
      tailLatency > target * BACKLOG_BOUND_FRACTION &&
      tailLatency < (this.previous.get(task) ?? 0)
    );
  }
}

/** Returns the lower median: single tasks may be slow for other reasons. */
function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((first, second) => first - second);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 1;
}
