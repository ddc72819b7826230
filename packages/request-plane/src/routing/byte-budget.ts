const MILLISECONDS_PER_SECOND = 1000;

/** A token bucket of bytes that refills over time. */
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

  /** Tells whether anything may be sent now. */
  public hasBytesLeft(now: number): boolean {
    this.refill(now);
    return this.availableBytes > 0;
  }

  /** Spends bytes; the budget may go below zero and then stays shut. */
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
