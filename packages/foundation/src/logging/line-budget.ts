import type { OmittedLines } from './omitted-lines.js';

const PERIOD_MILLISECONDS = 1000;

/** Most kinds counted in one period; what a caller sends must not add kinds. */
const MOST_KINDS = 1000;

/** Limits how many lines of one kind are written in a second. */
export class LineBudget {
  private readonly linesPerSecond: number;

  private periodStart = Number.NEGATIVE_INFINITY;

  private counts = new Map<string, number>();

  public constructor(linesPerSecond: number) {
    this.linesPerSecond = linesPerSecond;
  }

  /** Returns whether one more line of a kind may be written. */
  public admit(kind: string): boolean {
    const count = this.counts.get(kind) ?? 0;
    if (count === 0 && this.counts.size >= MOST_KINDS) {
      return false;
    }
    this.counts.set(kind, count + 1);
    return count < this.linesPerSecond;
  }

  /** Begins a new second if one is over; returns what was left out in it. */
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
