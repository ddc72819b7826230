import type { ServingTask } from '@basilcourse/jobs/interference/decide-shares';

import type { ListedServing } from './listed-serving.js';

/** Part of its bound below which the queue of a serving task is empty. */
const EMPTY_PART = 0.8;

/** Tells for how long the bounds of serving tasks are broken. */
export class ServingStrain {
  /** Since when the bounds of serving tasks are broken. */
  private brokenSince: ReadonlyMap<string, number> = new Map();

  /**
   * Adds to each task for how long its bound has been broken; a broken one is
   * kept again only once its queue is empty.
   */
  public add(
    serving: readonly ListedServing[],
    now: number,
  ): readonly ServingTask[] {
    const since = new Map<string, number>();
    const found = serving.map(task => {
      const before = this.brokenSince.get(task.task);
      const part = before === undefined ? 1 : EMPTY_PART;
      if (task.tailLatency <= task.target * part) {
        return { ...task, strainedMilliseconds: 0 };
      }
      const first = before ?? now;
      since.set(task.task, first);
      return { ...task, strainedMilliseconds: now - first };
    });
    this.brokenSince = since;
    return found;
  }
}
