import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';

import type { RememberedClaim } from './remembered-claim.js';

/** Maximum number of keys kept by one entry. */
const MAXIMUM_KEYS = 100_000;

/**
 * The idempotency keys that were claimed through one entry.
 *
 * When the limit is reached, the oldest claim is dropped and `memoryStart` is set to the
 * time of the drop.
 */
export class EntryClaims {
  private readonly claims = new BoundedMap<RememberedClaim>(MAXIMUM_KEYS);

  private readonly inherited = new Set<string>();

  private start: number;

  public constructor(now: number) {
    this.start = now;
  }

  /** Time since which no claim has been dropped for lack of space. */
  public get memoryStart(): number {
    return this.start;
  }

  /** Instances whose claims this entry has inherited. */
  public get inheritedInstances(): readonly string[] {
    return [...this.inherited];
  }

  public get all(): readonly RememberedClaim[] {
    return [...this.claims.values()];
  }

  /** Records a claim unless the key is claimed; returns the first claimant. */
  public claim(key: string, requestId: string, now: number): string {
    const existing = this.claims.get(key);
    if (existing !== undefined) {
      return existing.requestId;
    }
    const dropped = this.claims.dropped;
    this.claims.set(key, { key, requestId, claimedAt: now });
    if (this.claims.dropped > dropped) {
      this.start = now;
    }
    return requestId;
  }

  /** Replaces the holder of a key by the one that the key's owner reported. */
  public replaceHolder(key: string, requestId: string, now: number): void {
    this.claims.set(key, { key, requestId, claimedAt: now });
  }

  public find(key: string): RememberedClaim | undefined {
    return this.claims.get(key);
  }

  public release(key: string, requestId: string): void {
    if (this.claims.get(key)?.requestId === requestId) {
      this.claims.delete(key);
    }
  }

  /**
   * Adopts the claims of a stopping entry.
   *
   * @param previouslyInherited - Instances whose claims that entry had
   * inherited.
   */
  public inherit(
    instance: string,
    previouslyInherited: readonly string[],
    claims: readonly RememberedClaim[],
  ): void {
    for (const claim of claims) {
      if (!this.claims.has(claim.key)) {
        this.claims.set(claim.key, claim);
      }
    }
    for (const name of [instance, ...previouslyInherited]) {
      this.inherited.add(name);
    }
  }

  public sweep(olderThanMilliseconds: number, now: number): void {
    this.claims.dropWhile(
      claim => now - claim.claimedAt > olderThanMilliseconds,
    );
  }
}
