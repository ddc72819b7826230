import type { RandomSource } from '@basilcourse/foundation/random/random-source';

/** Failures in a row after which an upstream is ejected. */
const CONSECUTIVE_FAILURES_TO_EJECT = 5;

const INITIAL_EJECTION_MILLISECONDS = 2000;

const MAXIMUM_EJECTION_MILLISECONDS = 30_000;

/** Largest share of a service's upstreams ejected at once. */
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

/** Keeps requests away from upstreams that fail one after the other. */
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

  /** The candidates that are not ejected; never less than two thirds. */
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

  public forget(attempt: string): void {
    this.records.delete(attempt);
  }
}
