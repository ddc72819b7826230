import type { MinionLimits } from '@basilcourse/jobs/model/minion-limits';
import { START_VALIDITY_MILLISECONDS } from '@basilcourse/jobs/model/start-validity';

import { LeaseClock } from './lease-clock.js';

/**
 * The lease of the minion, as the leader grants it and the minion may hold it. A
 * minion that did not answer the last call gets no further one until it answers,
 * so that its runs end at a known time. All times are monotonic milliseconds.
 */
export class GrantedLease {
  private readonly clock: LeaseClock;

  private durationMilliseconds = 0;

  /** When the newest message was sent that the leader answered with a grant. */
  private grantedFrom = Number.NEGATIVE_INFINITY;

  private grantedUntil = Number.NEGATIVE_INFINITY;

  private silent = false;

  public constructor(limits: MinionLimits) {
    this.clock = new LeaseClock(limits);
  }

  /** Whether the minion did not answer the last call. */
  public get isSilent(): boolean {
    return this.silent;
  }

  /** Sets the duration of the leases that the leader grants from now on. */
  public setDuration(milliseconds: number): void {
    this.durationMilliseconds = milliseconds;
  }

  /** Records a grant that answers a message that was sent at the given time. */
  public grant(sentAt: number): void {
    const until = sentAt + this.durationMilliseconds;
    this.grantedFrom = Math.max(this.grantedFrom, sentAt);
    this.grantedUntil = Math.max(this.grantedUntil, until);
  }

  /** Records an answer of the minion with the time on its clock. */
  public recordAnswer(minionClock: number, now: number): void {
    this.clock.recordClock(minionClock, now);
    this.silent = false;
  }

  /** Records that the minion did not answer. */
  public recordSilence(): void {
    this.silent = true;
  }

  /**
   * Returns the expiry to give to the minion, on its clock, and records that the
   * minion may hold it; undefined if it gets no lease.
   */
  public expiry(now: number): number | undefined {
    return this.silent
      ? undefined
      : this.clock.expiryFor(this.grantedUntil, now);
  }

  /** Returns the expiry to give with a start; undefined if it must not be sent. */
  public startExpiry(now: number): number | undefined {
    const isValid = now - this.grantedFrom <= START_VALIDITY_MILLISECONDS;
    return isValid ? this.expiry(now) : undefined;
  }

  /** Whether a clock in an answer is certainly that of the same incarnation. */
  public isSameClock(clock: number, now: number): boolean {
    return this.clock.isSame(clock, now);
  }

  /** Whether every lease that the minion may hold has expired. */
  public isExpired(now: number): boolean {
    return this.clock.isExpired(now);
  }

  /** Clears what is known of an earlier incarnation of the minion. */
  public reset(): void {
    this.silent = false;
    this.clock.reset();
  }
}
