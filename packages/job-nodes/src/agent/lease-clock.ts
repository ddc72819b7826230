import { CLOCK_DRIFT_FACTOR } from '@basilcourse/jobs/model/clock-drift-factor';
import type { MinionLimits } from '@basilcourse/jobs/model/minion-limits';

import { KILL_MARGIN_MILLISECONDS } from './kill-margin.js';
import { longestHold } from './longest-hold.js';

/** Transit time of an answer, and the granularity of clocks. */
const CLOCK_TOLERANCE_MILLISECONDS = 500;

/**
 * The clock of an incarnation begins anew, so two incarnations show times that
 * differ by the age of the first; a younger one can't be told from the next.
 */
const MINIMUM_AGE_MILLISECONDS = 2000;

/** Converts the expiry of a lease from the agent's clock to the minion's. */
export class LeaseClock {
  private readonly limits: MinionLimits;

  private minionClock = 0;

  private readAt = Number.NaN;

  /**
   * When a lease is over that an earlier agent, or a call for an earlier
   * incarnation, may have given; infinite before the first answer.
   */
  private inheritedUntil = Number.POSITIVE_INFINITY;

  /** When the last lease that this agent sent has expired. */
  private latestExpiryAt = Number.NEGATIVE_INFINITY;

  public constructor(limits: MinionLimits) {
    this.limits = limits;
  }

  /** Records the minion's clock; the agent received the value at `readAt`. */
  public recordClock(clock: number, readAt: number): void {
    if (!Number.isFinite(this.inheritedUntil)) {
      this.inheritedUntil = readAt + longestHold(this.limits);
    }
    this.minionClock = clock;
    this.readAt = readAt;
  }

  /** Clears the state of an earlier incarnation of the minion. */
  public reset(): void {
    this.readAt = Number.NaN;
    this.inheritedUntil = Number.POSITIVE_INFINITY;
    this.latestExpiryAt = Number.NEGATIVE_INFINITY;
  }

  /** Whether a clock in an answer is certainly that of the same incarnation. */
  public isSame(clock: number, now: number): boolean {
    const elapsed = now - this.readAt;
    const difference = Math.abs(clock - (this.minionClock + elapsed));
    const tolerance =
      CLOCK_TOLERANCE_MILLISECONDS + elapsed * (CLOCK_DRIFT_FACTOR - 1);
    return (
      this.minionClock >= MINIMUM_AGE_MILLISECONDS && difference <= tolerance
    );
  }

  /**
   * Returns the expiry of a lease on the minion's clock, not later than on the
   * agent's, and records that the minion may hold it from now on; undefined if
   * there is no valid lease or the minion's clock has not been read.
   */
  public expiryFor(grantedUntil: number, now: number): number | undefined {
    if (Number.isNaN(this.readAt) || grantedUntil <= now) {
      return undefined;
    }
    const latestExpiryAt =
      now +
      (grantedUntil - now) * CLOCK_DRIFT_FACTOR +
      KILL_MARGIN_MILLISECONDS;
    this.latestExpiryAt = Math.max(this.latestExpiryAt, latestExpiryAt);
    return Math.floor(this.minionClock + (grantedUntil - this.readAt));
  }

  /** Whether every lease that the minion may hold has expired. */
  public isExpired(now: number): boolean {
    return now > this.latestExpiryAt && now > this.inheritedUntil;
  }
}
