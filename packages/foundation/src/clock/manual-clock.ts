import type { Clock } from './clock.js';

/** A clock that advances only on request, for tests and reproducible runs. */
export class ManualClock implements Clock {
  private current: number;

  public constructor(startMilliseconds = 0) {
    this.current = startMilliseconds;
  }

  public readonly now = (): number => this.current;

  /** Advances the clock by the given number of milliseconds. */
  public advance(milliseconds: number): void {
    this.current += milliseconds;
  }
}
