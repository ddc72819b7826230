import type { ListedServingTask } from './listed-serving-task.js';

/** A task's queue is empty at a tail latency up to this part of its bound. */
const EMPTY_QUEUE_BOUND_FRACTION = 0.8;

/** A serving task, and for how long its bound has been exceeded. */
interface StrainedTask extends ListedServingTask {
  /** 0 if the bound is met. */
  readonly strainedMilliseconds: number;
}

/** Tracks for how long serving tasks have violated their bounds. */
export class ServingStrain {
  /** Start of the current violation of each serving task. */
  private violatedSince: ReadonlyMap<string, number> = new Map();

  /**
   * Returns the tasks with the duration of their current violations; a
   * violation ends only once the queue of the task is empty.
   */
  public withViolationDurations(
    serving: readonly ListedServingTask[],
    now: number,
  ): readonly StrainedTask[] {
    const since = new Map<string, number>();
    const withDurations = serving.map(task => {
      const before = this.violatedSince.get(task.task);
      const boundFraction =
        before === undefined ? 1 : EMPTY_QUEUE_BOUND_FRACTION;
      if (task.tailLatency <= task.target * boundFraction) {
        return { ...task, strainedMilliseconds: 0 };
      }
      const first = before ?? now;
      since.set(task.task, first);
      return { ...task, strainedMilliseconds: now - first };
    });
    this.violatedSince = since;
    return withDurations;
  }
}
