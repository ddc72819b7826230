/** Least weight of a new sample. */
const MINIMUM_SAMPLE_WEIGHT = 0.1;

/** Time after which an estimate without samples has lost most of its weight. */
const DECAY_MILLISECONDS = 5000;

/** Moving average of the time that an upstream takes for one request. */
export class ServiceTime {
  private average = 0;

  private lastSampleAt = Number.NEGATIVE_INFINITY;

  /** Estimate; 0 before the first sample. */
  public get milliseconds(): number {
    return this.average;
  }

  /** Takes in a sample; it weighs the more, the longer the last one is ago. */
  public add(milliseconds: number, now: number): void {
    const weight = Math.max(
      MINIMUM_SAMPLE_WEIGHT,
      1 - this.remainingWeight(now),
    );
    this.lastSampleAt = now;
    this.average += weight * (milliseconds - this.average);
  }

  /**
   * Estimate by which requests are refused. It falls while no sample comes, as
   * an upstream that refuses everything would never be measured again.
   */
  public decayedMilliseconds(now: number): number {
    return this.average * this.remainingWeight(now);
  }

  private remainingWeight(now: number): number {
    return Math.exp(-Math.max(0, now - this.lastSampleAt) / DECAY_MILLISECONDS);
  }
}
