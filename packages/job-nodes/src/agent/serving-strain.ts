import type { ListedServing } from './listed-serving.js';

/** A bound is broken for so long before neighbours are held back. */
const PATIENCE_MILLISECONDS = 900;

/** Part of its bound below which the queue of a serving task is empty. */
const EMPTY_PART = 0.8;

/** Tells which serving tasks are over their bounds and stay so. */
export class ServingStrain {
  /** Since when the bounds of serving tasks are broken. */
  private brokenSince: ReadonlyMap<string, number> = new Map();

  /**
   * Returns the tasks whose bounds have been broken for a while, until their
   * queues are empty. Estimates alone hold nobody back: work that is slowed
   * down stays, and does its harm later.
   */
  public strained(
    serving: readonly ListedServing[],
    now: number,
  ): readonly ListedServing[] {
    const since = new Map<string, number>();
    const strained = serving.filter(task => {
      const before = this.brokenSince.get(task.task);
      const part = before === undefined ? 1 : EMPTY_PART;
      if (task.tail <= task.target * part) {
        return false;
      }
      since.set(task.task, before ?? now);
      return now - (before ?? now) >= PATIENCE_MILLISECONDS;
    });
    this.brokenSince = since;
    return strained;
  }
}
