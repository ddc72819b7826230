import { LeaseClock } from './lease-clock.js';

/**
 * The lease of the minion, as the leader grants it and the minion may hold it. A
 * minion that is silent for as long as a lease, or that refuses a connection, gets
 * no further one until it answers, so that its runs end at a known time. All times are monotonic milliseconds.
 */
export class GrantedLease {
  private readonly clock = new LeaseClock();

  private durationMilliseconds = 0;

  private grantedUntil = Number.NEGATIVE_INFINITY;

  /** Time of the first call without an answer since the last answer. */
  private silentSince: number | undefined;

  /** Whether a connection was refused since the last answer. */
  private refused = false;

  /** Sets the duration of the leases that the leader grants from now on. */
  public setDuration(milliseconds: number): void {
    this.durationMilliseconds = milliseconds;
  }

  /** Records a grant that answers a message that was sent at the given time. */
  public grant(sentAt: number): void {
    const until = sentAt + this.durationMilliseconds;
    this.grantedUntil = Math.max(this.grantedUntil, until);
  }

  /** Records an answer of the minion with the time on its clock. */
  public recordAnswer(minionClock: number, now: number): void {
    this.clock.recordClock(minionClock, now);
    this.silentSince = undefined;
    this.refused = false;
  }

  /**
   * Records that the minion did not answer.
   *
   * @param refused - The connection was refused: the minion has ended, or the
   * path to it is cut.
   */
  public recordSilence(refused: boolean, now: number): void {
    this.silentSince ??= now;
    this.refused ||= refused;
  }

  /**
   * Returns the expiry to give to the minion, on its clock, and records that the
   * minion may hold it; undefined if it gets no lease.
   */
  public expiry(now: number): number | undefined {
    const silentMilliseconds = now - (this.silentSince ?? now);
    return this.refused || silentMilliseconds > this.durationMilliseconds
      ? undefined
      : this.clock.expiryFor(this.grantedUntil, now);
  }

  /** Whether every lease that the minion may hold has expired. */
  public isExpired(now: number): boolean {
    return this.clock.isExpired(now);
  }

  /** Clears what is known of an earlier incarnation of the minion. */
  public reset(): void {
    this.silentSince = undefined;
    this.refused = false;
    this.clock.reset();
  }
}
