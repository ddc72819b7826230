import type { UpstreamLoad } from './upstream-load.js';

const UNREPORTED_LOAD: UpstreamLoad = {
  slots: 1,
  running: 0,
  queued: 0,
  serviceMilliseconds: 0,
  ownInFlight: 0,
};

/**
 * Load of the upstreams, by attempt: what their agents last reported, and the
 * requests that this entry has in flight there.
 */
export class LoadTable {
  private readonly reports = new Map<string, UpstreamLoad>();

  /** Time at which the reported service time of an upstream last changed. */
  private readonly serviceTimeChangedAt = new Map<string, number>();

  private readonly inFlight = new Map<string, number>();

  public inFlightAt(attempt: string): number {
    return this.inFlight.get(attempt) ?? 0;
  }

  public reportOf(attempt: string): UpstreamLoad {
    return this.reports.get(attempt) ?? UNREPORTED_LOAD;
  }

  /** Milliseconds since the reported service time of an upstream changed. */
  public serviceTimeAge(attempt: string, now: number): number {
    return now - (this.serviceTimeChangedAt.get(attempt) ?? now);
  }

  /**
   * Requests of other entries at an upstream: those last reported, less the
   * ones that this entry had in flight at the time of the report.
   */
  public othersInFlightAt(attempt: string): number {
    const { running, queued, ownInFlight } = this.reportOf(attempt);
    return Math.max(0, running + queued - ownInFlight);
  }

  /**
   * Stores a load report.
   *
   * @param endedSinceReport - Requests of this entry that count as in flight
   * here but that the report no longer includes.
   */
  public recordReport(
    attempt: string,
    report: Omit<UpstreamLoad, 'ownInFlight'>,
    now: number,
    endedSinceReport = 0,
  ): void {
    const { serviceMilliseconds } = this.reportOf(attempt);
    if (report.serviceMilliseconds !== serviceMilliseconds) {
      this.serviceTimeChangedAt.set(attempt, now);
    }
    const ownInFlight = Math.max(
      0,
      this.inFlightAt(attempt) - endedSinceReport,
    );
    this.reports.set(attempt, { ...report, ownInFlight });
  }

  public requestStarted(attempt: string): void {
    this.inFlight.set(attempt, this.inFlightAt(attempt) + 1);
  }

  public requestEnded(attempt: string): void {
    const remaining = this.inFlightAt(attempt) - 1;
    if (remaining > 0) {
      this.inFlight.set(attempt, remaining);
    } else {
      this.inFlight.delete(attempt);
    }
  }

  public remove(attempt: string): void {
    this.reports.delete(attempt);
    this.serviceTimeChangedAt.delete(attempt);
  }
}
