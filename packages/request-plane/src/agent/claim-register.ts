import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';

/** Keys that one agent remembers. */
const MAXIMUM_KEYS = 100_000;

interface Claim {
  readonly requestId: string;
  readonly claimedAt: number;
}

/** The idempotency keys that one agent keeps. */
export class ClaimRegister {
  private readonly claims = new BoundedMap<Claim>(MAXIMUM_KEYS);

  private start: number;

  private startOffset: number | undefined;

  public constructor(now: number) {
    this.start = now;
  }

  /** Time since which no claim has been forgotten. */
  public get memoryStart(): number {
    return this.start;
  }

  /**
   * Offset that the log had reached at some moment after the start; undefined
   * while it is not known.
   *
   * Whoever claimed a key here before the start had joined below this offset.
   */
  public get memoryStartOffset(): number | undefined {
    return this.startOffset;
  }

  /**
   * Takes in the end of the log, as read after a start of the memory.
   *
   * @param memoryStart - Start of the memory when the read began.
   */
  public recordLogEnd(end: number, memoryStart: number): void {
    if (memoryStart === this.start) {
      this.startOffset ??= end;
    }
  }

  /** Claims a key for a request; returns the request that holds it. */
  public claim(key: string, requestId: string, now: number): string {
    const existing = this.claims.get(key);
    if (existing !== undefined) {
      return existing.requestId;
    }
    const dropped = this.claims.dropped;
    this.claims.set(key, { requestId, claimedAt: now });
    if (this.claims.dropped > dropped) {
      this.start = now;
      this.startOffset = undefined;
    }
    return requestId;
  }

  /** Gives a claim back when the request holds it. */
  public release(key: string, requestId: string): void {
    if (this.claims.get(key)?.requestId === requestId) {
      this.claims.delete(key);
    }
  }

  public sweep(olderThanMilliseconds: number, now: number): void {
    this.claims.dropWhile(
      claim => now - claim.claimedAt > olderThanMilliseconds,
    );
  }
}
