import { shouldHandOver } from './decide-hand-over.js';

/** Duration of a leader's lease, counted from when it sent the renewal. */
const LEASE_MILLISECONDS = 1500;

/** Leases that may pass without an answer before the leader gives up. */
const MAXIMUM_UNANSWERED_LEASES = 20;

/** A process that has handed over lets others claim for this long. */
const HAND_OVER_PAUSE_MILLISECONDS = 3000;

/**
 * Whether and since when this process leads, and how far its renewals are. All
 * times are monotonic milliseconds.
 */
export class LeadershipTerm {
  /** Whether this process is the leader, as far as it knows. */
  public leading = false;

  /** Number of the last renewal that was answered. */
  public sequence = 0;

  private acquiredAt = Number.NEGATIVE_INFINITY;

  private renewedAt = Number.NEGATIVE_INFINITY;

  private handedOverAt = Number.NEGATIVE_INFINITY;

  /** Begins with a claim that was sent at the given time. */
  public begin(sentAt: number): void {
    this.leading = true;
    this.sequence = 0;
    this.acquiredAt = sentAt;
    this.renewedAt = sentAt;
  }

  /** Records the answer to a renewal that was sent at the given time. */
  public renew(sequence: number, sentAt: number): void {
    this.sequence = sequence;
    this.renewedAt = sentAt;
  }

  /** Records that this process hands over to another one. */
  public handOver(now: number): void {
    this.handedOverAt = now;
  }

  /** Whether this process is the leader and its lease has not expired. */
  public isValid(now: number): boolean {
    return this.leading && now - this.renewedAt < LEASE_MILLISECONDS;
  }

  /** Whether no renewal has been answered for too long. */
  public isLost(now: number): boolean {
    const limit = MAXIMUM_UNANSWERED_LEASES * LEASE_MILLISECONDS;
    return this.leading && now - this.renewedAt > limit;
  }

  /** Whether this process may claim as far as its hand-overs are concerned. */
  public mayClaim(now: number): boolean {
    return now - this.handedOverAt >= HAND_OVER_PAUSE_MILLISECONDS;
  }

  /** Whether another process should lead, by the cores that they can use. */
  public shouldHandOver(
    now: number,
    ownCores: number,
    mostCores: number,
  ): boolean {
    return shouldHandOver({
      ownCores,
      mostCores,
      leadingMilliseconds: now - this.acquiredAt,
      sinceHandOverMilliseconds: now - this.handedOverAt,
    });
  }
}
