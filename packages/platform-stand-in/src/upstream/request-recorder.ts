/**
 * Counts the runs of each request, independently of the system under test, to
 * detect requests that run more than once.
 */
export class RequestRecorder {
  private readonly runsByRequest = new Map<string, number>();

  private readonly runsByKey = new Map<string, number>();

  private duplicateRunCount = 0;

  private runCount = 0;

  public get runs(): number {
    return this.runCount;
  }

  /**
   * Number of runs of unrepeatable (not idempotent) requests after the first
   * run of each request or idempotency key.
   */
  public get duplicateRuns(): number {
    return this.duplicateRunCount;
  }

  public hasRun(request: string): boolean {
    return this.runsByRequest.has(request);
  }

  public hasRunWithKey(key: string): boolean {
    return this.runsByKey.has(key);
  }

  /**
   * Records that a run has started.
   *
   * @param key - Idempotency key of the request; empty if it has none.
   */
  public recordRun(request: string, key: string, unrepeatable: boolean): void {
    this.runCount += 1;
    const runs = (this.runsByRequest.get(request) ?? 0) + 1;
    this.runsByRequest.set(request, runs);
    const keyRuns = key === '' ? 0 : (this.runsByKey.get(key) ?? 0) + 1;
    if (key !== '') {
      this.runsByKey.set(key, keyRuns);
    }
    if (unrepeatable && (runs > 1 || keyRuns > 1)) {
      this.duplicateRunCount += 1;
    }
  }
}
