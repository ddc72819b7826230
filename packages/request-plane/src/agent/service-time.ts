/** Minimum weight of a new sample in the average. */
const MINIMUM_SAMPLE_WEIGHT = 0.1;

/**
 * Time constant of the decay: the weight falls by a factor of e in this time.
 */
const DECAY_MILLISECONDS = 5000;

/** Moving average of the time that an upstream needs for one request. */
export class ServiceTime {
  private average = 0;

  private lastSampleAt = Number.NEGATIVE_INFINITY;

  /** Estimate; 0 before the first sample. */
  public get milliseconds(): number {
    return this.average;
  }

  /** Adds a sample; its weight grows with the time since the previous one. */
  public add(milliseconds: number, now: number): void {
    const weight = Math.max(
      MINIMUM_SAMPLE_WEIGHT,
      1 - this.remainingWeight(now),
    );
    this.lastSampleAt = now;
    this.average += weight * (milliseconds - this.average);
  }

  /**
   * Estimate used to refuse requests. It decays while no sample arrives,
   * because an upstream whose requests are all refused would never be measured
   * again.
   */
  public decayedMilliseconds(now: number): number {
    return this.average * this.remainingWeight(now);
  }

  private remainingWeight(now: number): number {
    return Math.exp(-Math.max(0, now - this.lastSampleAt) / DECAY_MILLISECONDS);
  }
}
