/** A minion's clock may be slower than the agent's by this factor. */
const CLOCK_DRIFT_FACTOR = 1.02;

/** Maximum time from the expiry of a lease until the minion kills its runs. */
const KILL_MARGIN_MILLISECONDS = 400;

/** Converts the expiry of a lease from the agent's clock to the minion's. */
export class LeaseClock {
  private minionClock = 0;

  private readAt = Number.NaN;

  /** Infinite while the minion may hold a lease that this agent did not send. */
  private latestExpiryAt = Number.POSITIVE_INFINITY;

  /** Records the minion's clock; the agent received the value at `readAt`. */
  public recordClock(clock: number, readAt: number): void {
    this.minionClock = clock;
    this.readAt = readAt;
  }

  /** Clears the state of an earlier incarnation of the minion. */
  public reset(): void {
    this.readAt = Number.NaN;
    this.latestExpiryAt = Number.POSITIVE_INFINITY;
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
    this.latestExpiryAt = Number.isFinite(this.latestExpiryAt)
      ? Math.max(this.latestExpiryAt, latestExpiryAt)
      : latestExpiryAt;
    return Math.floor(this.minionClock + (grantedUntil - this.readAt));
  }

  /** Whether every lease that the minion may hold has expired. */
  public isExpired(now: number): boolean {
    return now > this.latestExpiryAt;
  }
}
