import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';

/** Maximum number of keys that one agent remembers. */
const MAXIMUM_KEYS = 100_000;

interface Claim {
  readonly requestId: string;
  readonly claimedAt: number;
}

/**
 * The idempotency keys claimed at one agent, with the requests that hold them.
 *
 * When the register is full, the oldest claim is dropped and the memory counts
 * as starting anew at that time.
 */
export class ClaimRegister {
  private readonly claims = new BoundedMap<Claim>(MAXIMUM_KEYS);

  private start: number;

  private startOffset: number | undefined;

  public constructor(now: number) {
    this.start = now;
  }

  /** Time since which no claim has been dropped for lack of space. */
  public get memoryStart(): number {
    return this.start;
  }

  /**
   * An end of the log that was read after the start of the memory; undefined
   * until one has been read.
   *
   * Every entry that claimed a key here before the start of the memory has its
   * joining recorded below this offset.
   */
  public get memoryStartOffset(): number | undefined {
    return this.startOffset;
  }

  /**
   * Records the end of the log, as read after the start of the memory.
   *
   * @param memoryStart - Start of the memory when the read began.
   */
  public recordLogEnd(end: number, memoryStart: number): void {
    if (memoryStart === this.start) {
      this.startOffset ??= end;
    }
  }

  /**
   * Claims a key for a request unless another request holds it.
   *
   * @returns the identifier of the request that holds the key.
   */
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

  /** Releases a key if the request holds it. */
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
