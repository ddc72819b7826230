import type { LoadSwing } from '@basilcourse/jobs/interference/load-swing';
import { loadAt } from '@basilcourse/jobs/interference/load-swing';

/** A swing is sent again once its load differs by this anywhere. */
const NOTICEABLE_LOAD = 0.02;

/** A tail latency without load is sent again once it differs by this part. */
const NOTICEABLE_FRACTION = 0.05;

/** A swing is not sent again within this time. */
const MINIMUM_INTERVAL_MILLISECONDS = 1500;

/** A swing that has not changed is sent again after this time. */
const REPEAT_INTERVAL_MILLISECONDS = 10_000;

/** Quarters of the period at which two swings are compared. */
const COMPARED_QUARTERS = [0, 1, 2, 3];

/** Jobs without a message for this long are forgotten. */
const RETENTION_MILLISECONDS = 30_000;

interface SentSwingState {
  readonly swing: LoadSwing;
  readonly unloadedTailLatency: number;
  readonly at: number;
}

/** Swings of loads that were sent on the stream of one agent. */
export class SentLoads {
  private readonly sent = new Map<string, SentSwingState>();

  /** Returns whether a swing has to be sent, and counts it as sent if so. */
  public needsSending(
    job: string,
    swing: LoadSwing,
    unloadedTailLatency: number,
    now: number,
  ): boolean {
    const before = this.sent.get(job);
    if (
      before !== undefined &&
      now - before.at < MINIMUM_INTERVAL_MILLISECONDS
    ) {
      return false;
    }
    const isKnown =
      before !== undefined &&
      now - before.at < REPEAT_INTERVAL_MILLISECONDS &&
      Math.abs(unloadedTailLatency - before.unloadedTailLatency) <=
        NOTICEABLE_FRACTION * before.unloadedTailLatency &&
      !differ(before.swing, swing, now);
    if (!isKnown) {
      this.sent.set(job, { swing, unloadedTailLatency, at: now });
      this.forgetBefore(now - RETENTION_MILLISECONDS);
    }
    return !isKnown;
  }

  private forgetBefore(time: number): void {
    for (const [job, { at }] of this.sent) {
      if (at < time) {
        this.sent.delete(job);
      }
    }
  }
}

function differ(first: LoadSwing, second: LoadSwing, now: number): boolean {
  return COMPARED_QUARTERS.some(quarter => {
    const at = now + (quarter * first.periodMilliseconds) / 4;
    return Math.abs(loadAt(first, at) - loadAt(second, at)) > NOTICEABLE_LOAD;
  });
}
