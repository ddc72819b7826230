/** Number of most recent samples kept for each attempt. */
const WINDOW_SAMPLES = 200;

/** Number of samples below which no percentile is reported. */
const MINIMUM_SAMPLES = 20;

const HIGH_QUANTILE = 0.99;

/** Sliding windows of the recent service times of the upstreams on one VM. */
export class ServiceTimeWindows {
  private readonly samples = new Map<string, number[]>();

  public observe(attempt: string, milliseconds: number): void {
    const window = this.samples.get(attempt) ?? [];
    window.push(milliseconds);
    if (window.length > WINDOW_SAMPLES) {
      window.shift();
    }
    this.samples.set(attempt, window);
  }

  /** 99th percentile of an attempt; undefined if it has too few samples. */
  public highPercentile(attempt: string): number | undefined {
    const window = this.samples.get(attempt) ?? [];
    if (window.length < MINIMUM_SAMPLES) {
      return undefined;
    }
    const sorted = [...window].sort((left, right) => left - right);
    return sorted[Math.floor(HIGH_QUANTILE * (sorted.length - 1))];
  }

  /** Discards all samples, so that later ones show the effect of a change. */
  public reset(): void {
    this.samples.clear();
  }
}
