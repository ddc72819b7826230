import type { Clock } from '@basilcourse/foundation/clock/clock';
import * as EffectClock from 'effect/Clock';
import * as Duration from 'effect/Duration';
import * as Effect from 'effect/Effect';

interface Timer {
  readonly due: number;
  readonly order: number;
  readonly resume: () => void;
}

/**
 * A simulated clock: time advances only on request, and timers fire in the
 * order of their due times, then of their creation.
 */
export class SimulatedClock implements Clock {
  private current: number;

  private timers: Timer[] = [];

  private nextOrder = 0;

  public constructor(startMilliseconds: number) {
    this.current = startMilliseconds;
  }

  public readonly now = (): number => this.current;

  /** Adds a timer; returns a function that removes it. */
  public addTimer(due: number, resume: () => void): () => void {
    const timer = { due, order: this.nextOrder, resume };
    this.nextOrder += 1;
    this.timers.push(timer);
    return () => {
      this.timers = this.timers.filter(other => other !== timer);
    };
  }

  /** Advances time and fires all timers that become due. */
  public async advance(milliseconds: number): Promise<void> {
    const end = this.current + milliseconds;
    await this.settle();
    for (;;) {
      const next = this.nextTimer();
      if (next === undefined || next.due > end) {
        break;
      }
      this.current = Math.max(this.current, next.due);
      this.timers = this.timers.filter(other => other !== next);
      next.resume();
      const following = this.nextTimer();
      if (following === undefined || following.due > this.current) {
        await this.settle();
      }
    }
    this.current = end;
    await this.settle();
  }

  private nextTimer(): Timer | undefined {
    let first: Timer | undefined;
    for (const timer of this.timers) {
      const isEarlier =
        first === undefined ||
        timer.due < first.due ||
        (timer.due === first.due && timer.order < first.order);
      if (isEarlier) {
        first = timer;
      }
    }
    return first;
  }

  /** Waits until all pending promise callbacks have run. */
  private async settle(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
  }
}

/** Effect clock of one process, whose timers do not fire while it is paused. */
export function effectClockOf(
  clock: SimulatedClock,
  isPaused: () => boolean,
  whenResumed: (resume: () => void) => void,
): EffectClock.Clock {
  const system = EffectClock.make();
  return {
    ...system,
    unsafeCurrentTimeMillis: clock.now,
    unsafeCurrentTimeNanos: () => BigInt(clock.now()) * 1_000_000n,
    currentTimeMillis: Effect.sync(clock.now),
    currentTimeNanos: Effect.sync(() => BigInt(clock.now()) * 1_000_000n),
    sleep: duration =>
      Effect.async(resume => {
        const due = clock.now() + Duration.toMillis(duration);
        const wake = (): void => {
          if (isPaused()) {
            whenResumed(wake);
          } else {
            resume(Effect.void);
          }
        };
        const cancel = clock.addTimer(due, wake);
        return Effect.sync(cancel);
      }),
  };
}
