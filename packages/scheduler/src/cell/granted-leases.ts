import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';

/** Maximum number of attempts whose leases are recorded. */
const MAXIMUM_ATTEMPTS = 20_000;

/** Records the latest lease that this lease holder granted to each attempt. */
export class GrantedLeases {
  private readonly grants = new BoundedMap<number>(MAXIMUM_ATTEMPTS);

  /** Latest end of any task lease that a former holder may have granted. */
  private inheritedUntil = 0;

  /** Sets the latest end of any lease that a former holder may have granted. */
  public inherit(until: number): void {
    this.inheritedUntil = until;
  }

  /** Records a lease; must be called before the lease is sent. */
  public grant(attempt: string, until: number): void {
    const latest = this.grants.get(attempt) ?? 0;
    this.grants.set(attempt, Math.max(latest, until));
  }

  /** Time at which every lease granted to the attempt has expired. */
  public expiresAt(attempt: string): number {
    return Math.max(this.grants.get(attempt) ?? 0, this.inheritedUntil);
  }
}
