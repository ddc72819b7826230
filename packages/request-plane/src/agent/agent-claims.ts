import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';

/** Maximum number of keys kept by one agent. */
const MAXIMUM_KEYS = 100_000;

interface Claim {
  readonly requestId: string;
  readonly claimedAt: number;
}

/**
 * The idempotency keys claimed at one agent, with the requests that hold them.
 *
 * When the limit is reached, the oldest claim is dropped and `memoryStart` is
 * set to the time of the drop.
 */
export class AgentClaims {
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
   * End of the log as first read after `memoryStart`; undefined until it has
   * been read.
   *
   * Every entry that claimed a key here before `memoryStart` has its
   * `entry-joined` record below this offset.
   */
  public get memoryStartOffset(): number | undefined {
    return this.startOffset;
  }

  /**
   * Records the end of the log, as read after `memoryStart`.
   *
   * @param memoryStart - Value of `memoryStart` when the read began; the end is
   * ignored if that value has changed since.
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
