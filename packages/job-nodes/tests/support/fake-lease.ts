/**
 * Lease of one life of a fake minion, on the clock of that life. A lease is
 * shortened to the longest one and never gets shorter.
 */
export class FakeLease {
  private readonly startedAt: number;

  private readonly longestMilliseconds: number;

  private until: number | undefined;

  /**
   * @param ageMilliseconds - Present time of the life's clock.
   */
  public constructor(longestMilliseconds: number, ageMilliseconds: number) {
    this.longestMilliseconds = longestMilliseconds;
    this.startedAt = performance.now() - ageMilliseconds;
  }

  /** The time of the life's clock, in milliseconds. */
  public get clock(): number {
    return performance.now() - this.startedAt;
  }

  /** Time that is left; infinite before the first lease. */
  public get remaining(): number {
    return this.until === undefined
      ? Number.POSITIVE_INFINITY
      : this.until - this.clock;
  }

  /** When the lease ends, as `performance.now()` counts. */
  public get endsAt(): number {
    return performance.now() + this.remaining;
  }

  /** Prolongs the lease to a time of the life's clock. */
  public extend(expiresAt: number): void {
    const latest = this.clock + this.longestMilliseconds;
    this.until = Math.max(this.until ?? 0, Math.min(expiresAt, latest));
  }
}
