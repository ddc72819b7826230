import type { Clock } from '@basilcourse/foundation/clock/clock';

/** A clock that advances by one millisecond with each reading. */
export class TickingClock implements Clock {
  private current: number;

  public constructor(startMilliseconds: number) {
    this.current = startMilliseconds;
  }

  public readonly now = (): number => {
    this.current += 1;
    return this.current;
  };

  public advance(milliseconds: number): void {
    this.current += milliseconds;
  }
}
