/** A minion's clock may be this many times slower than ours. */
const SLOWEST_CLOCK_FACTOR = 1.02;

/** A minion kills what it runs a little after the end of the lease. */
const KILL_MARGIN_MILLISECONDS = 400;

/** Turns the end of a lease on our clock into one on the minion's. */
export class LeaseClock {
  private clock = 0;

  private readAt = Number.NaN;

  /** Infinite while a lease from before may be unknown here. */
  private overAt = Number.POSITIVE_INFINITY;

  /** Notes what the minion's clock showed at the latest at a time of ours. */
  public note(clock: number, readAt: number): void {
    this.clock = clock;
    this.readAt = readAt;
  }

  /** Forgets what was known of an earlier life of the minion. */
  public reset(): void {
    this.readAt = Number.NaN;
    this.overAt = Number.POSITIVE_INFINITY;
  }

  /**
   * Returns the end of a lease on the minion's clock, not later than ours, and
   * notes that the minion may have it from now on; undefined if there is no
   * lease to give or the minion's clock is not known.
   */
  public expiryFor(grantedUntil: number, now: number): number | undefined {
    if (Number.isNaN(this.readAt) || grantedUntil <= now) {
      return undefined;
    }
    const longest =
      now +
      (grantedUntil - now) * SLOWEST_CLOCK_FACTOR +
      KILL_MARGIN_MILLISECONDS;
    this.overAt = Number.isFinite(this.overAt)
      ? Math.max(this.overAt, longest)
      : longest;
    return Math.floor(this.clock + (grantedUntil - this.readAt));
  }

  /** Every lease that the minion may have is over. */
  public isOver(now: number): boolean {
    return now > this.overAt;
  }
}
