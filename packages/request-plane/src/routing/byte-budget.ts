const MILLISECONDS_PER_SECOND = 1000;

/** A token bucket that limits bytes per second; it holds one second's worth. */
export class ByteBudget {
  private availableBytes: number;

  private lastRefillAt: number;

  private spentBytes = 0;

  public constructor(
    private readonly bytesPerSecond: () => number,
    now: number,
  ) {
    this.availableBytes = bytesPerSecond();
    this.lastRefillAt = now;
  }

  /** Bytes spent since the start. */
  public get spent(): number {
    return this.spentBytes;
  }

  /**
   * Returns whether the bucket has any bytes left, so that a send may start.
   */
  public hasBytesLeft(now: number): boolean {
    this.refill(now);
    return this.availableBytes > 0;
  }

  /**
   * Removes bytes from the bucket. The balance may become negative; no send may
   * start until refilling has made it positive again.
   */
  public spend(bytes: number, now: number): void {
    this.refill(now);
    this.availableBytes -= bytes;
    this.spentBytes += bytes;
  }

  private refill(now: number): void {
    const rate = this.bytesPerSecond();
    const seconds =
      Math.max(0, now - this.lastRefillAt) / MILLISECONDS_PER_SECOND;
    this.availableBytes = Math.min(rate, this.availableBytes + seconds * rate);
    this.lastRefillAt = now;
  }
}
