import { CLOCK_DRIFT_FACTOR } from '../model/clock-drift-factor.js';
import type { MinionLimits } from '../model/minion-limits.js';

/** Covers the transit time of a lease grant and the late stop of a run. */
const EXPIRY_MARGIN_MILLISECONDS = 500;

/** For how long runs may go on at a minion of which nothing is heard. */
export class LeaseBounds {
  /** After the last contact: runs that end with a lease that the leader granted. */
  public readonly grantedMilliseconds: number;

  /**
   * After the first contact with an incarnation: runs whose lease a call for an
   * earlier incarnation may have prolonged.
   */
  public readonly inheritedMilliseconds: number;

  /**
   * After the last contact: runs that no report has listed. Their orders, and the
   * last calls that prolong their lease, may be carried out late, by an incarnation
   * that nobody has met.
   */
  public readonly unlistedMilliseconds: number;

  /**
   * @param leaseMilliseconds - Longest lease that any leader grants.
   */
  public constructor(leaseMilliseconds: number, limits: MinionLimits) {
    this.grantedMilliseconds = onSlowClock(leaseMilliseconds);
    this.inheritedMilliseconds = onSlowClock(limits.longestLeaseMilliseconds);
    this.unlistedMilliseconds =
      leaseMilliseconds +
      limits.longestCallDelayMilliseconds +
      this.inheritedMilliseconds;
  }
}

function onSlowClock(leaseMilliseconds: number): number {
  return leaseMilliseconds * CLOCK_DRIFT_FACTOR + EXPIRY_MARGIN_MILLISECONDS;
}
