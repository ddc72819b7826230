import type { OmittedLines } from './omitted-lines.js';

const PERIOD_MILLISECONDS = 1000;

/**
 * Maximum number of kinds counted per period; lines of further kinds are left
 * out. A kind must not contain text that a caller sends.
 */
const MAXIMUM_KINDS = 1000;

/** Limits how many lines of one kind are written per second. */
export class LineBudget {
  private readonly linesPerSecond: number;

  private periodStart = Number.NEGATIVE_INFINITY;

  private counts = new Map<string, number>();

  public constructor(linesPerSecond: number) {
    this.linesPerSecond = linesPerSecond;
  }

  /** Counts one line of a kind and returns whether it may be written. */
  public admit(kind: string): boolean {
    const count = this.counts.get(kind) ?? 0;
    if (count === 0 && this.counts.size >= MAXIMUM_KINDS) {
      return false;
    }
    this.counts.set(kind, count + 1);
    return count < this.linesPerSecond;
  }

  /**
   * Starts a new period once a second has elapsed, and returns the lines left
   * out in the previous period.
   */
  public advance(now: number): readonly OmittedLines[] {
    if (now - this.periodStart < PERIOD_MILLISECONDS) {
      return [];
    }
    const { counts, linesPerSecond } = this;
    this.periodStart = now;
    this.counts = new Map();
    return [...counts]
      .filter(([, count]) => count > linesPerSecond)
      .map(([kind, count]) => ({ kind, count: count - linesPerSecond }));
  }
}
