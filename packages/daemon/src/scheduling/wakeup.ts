import * as Deferred from 'effect/Deferred';
import * as Effect from 'effect/Effect';
import * as FiberId from 'effect/FiberId';

/** A delay that can be ended early. */
export class Wakeup {
  private signal = Deferred.unsafeMake<undefined>(FiberId.none);

  /** Ends the current delay, or the next one if none is running. */
  public wake(): void {
    Deferred.unsafeDone(this.signal, Effect.succeed(undefined));
  }

  /** Waits for the given time or until `wake` is called. */
  public wait(milliseconds: number): Effect.Effect<void> {
    return Effect.suspend(() => Deferred.await(this.signal)).pipe(
      Effect.raceFirst(Effect.sleep(milliseconds)),
      Effect.tap(() =>
        Effect.sync(() => {
          this.signal = Deferred.unsafeMake<undefined>(FiberId.none);
        }),
      ),
      Effect.asVoid,
    );
  }
}
