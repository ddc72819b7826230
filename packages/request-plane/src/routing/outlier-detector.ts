import type { RandomSource } from '@basilcourse/foundation/random/random-source';

/** Consecutive failures after which an upstream is ejected. */
const CONSECUTIVE_FAILURES_TO_EJECT = 5;

const INITIAL_EJECTION_MILLISECONDS = 2000;

const MAXIMUM_EJECTION_MILLISECONDS = 30_000;

/** Maximum share of a service's upstreams that may be ejected at once. */
const MAXIMUM_EJECTED_SHARE = 0.34;

interface FailureRecord {
  readonly consecutiveFailures: number;
  readonly ejections: number;
  readonly ejectedUntil: number;
}

const NO_FAILURES: FailureRecord = {
  consecutiveFailures: 0,
  ejections: 0,
  ejectedUntil: 0,
};

/**
 * Ejects upstreams after consecutive failures, so that requests avoid them.
 *
 * Each further ejection of an upstream lasts twice as long, up to a maximum,
 * with up to half of that added at random.
 */
export class OutlierDetector {
  private readonly records = new Map<string, FailureRecord>();

  public constructor(private readonly random: RandomSource) {}

  public recordSuccess(attempt: string): void {
    const record = this.records.get(attempt);
    if (record !== undefined && record.consecutiveFailures > 0) {
      this.records.set(attempt, { ...record, consecutiveFailures: 0 });
    }
  }

  public recordFailure(attempt: string, now: number): void {
    const record = this.records.get(attempt) ?? NO_FAILURES;
    const consecutiveFailures = record.consecutiveFailures + 1;
    if (consecutiveFailures < CONSECUTIVE_FAILURES_TO_EJECT) {
      this.records.set(attempt, { ...record, consecutiveFailures });
      return;
    }
    const doubled = INITIAL_EJECTION_MILLISECONDS * 2 ** record.ejections;
    const bounded = Math.min(doubled, MAXIMUM_EJECTION_MILLISECONDS);
    const duration = bounded * (1 + this.random.next() / 2);
    this.records.set(attempt, {
      consecutiveFailures: 0,
      ejections: Math.min(record.ejections + 1, 10),
      ejectedUntil: now + duration,
    });
  }

  /**
   * Returns the candidates that are not ejected, or all of them when more than
   * the allowed share is ejected, so that the rest are not overloaded.
   */
  public withoutEjected<Candidate extends { readonly attempt: string }>(
    candidates: readonly Candidate[],
    now: number,
  ): readonly Candidate[] {
    const remaining = candidates.filter(
      ({ attempt }) => (this.records.get(attempt)?.ejectedUntil ?? 0) <= now,
    );
    const ejected = candidates.length - remaining.length;
    return ejected > candidates.length * MAXIMUM_EJECTED_SHARE
      ? candidates
      : remaining;
  }

  public remove(attempt: string): void {
    this.records.delete(attempt);
  }
}
