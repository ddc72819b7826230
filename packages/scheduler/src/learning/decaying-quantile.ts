/** Factor by which the weight of a sample shrinks with each later sample. */
const DECAY = 0.98;

/** Number of buckets per doubling of the value. */
const BUCKETS_PER_DOUBLING = 8;

const SMALLEST_VALUE = 1e-3;

function bucketOf(value: number): number {
  const clamped = Math.max(value, SMALLEST_VALUE);
  return Math.round(Math.log2(clamped / SMALLEST_VALUE) * BUCKETS_PER_DOUBLING);
}

/**
 * Estimates quantiles of a stream, with weights that decay as samples age.
 *
 * Uses logarithmic buckets as in Masson, Rim and Lee, "DDSketch", VLDB 2019.
 * New samples get exponentially growing weights, which is equivalent to
 * decaying all buckets. The relative error is at most 5 %.
 */
export class DecayingQuantile {
  private readonly buckets = new Map<number, number>();

  private weight = 1;

  private total = 0;

  private sampleCount = 0;

  public get samples(): number {
    return this.sampleCount;
  }

  public add(value: number): void {
    const bucket = bucketOf(value);
    this.weight /= DECAY;
    this.buckets.set(bucket, (this.buckets.get(bucket) ?? 0) + this.weight);
    this.total += this.weight;
    this.sampleCount += 1;
    if (this.weight > 1e100) {
      this.rescale();
    }
  }

  /** Value at a quantile from 0 to 1; 0 without samples. */
  public at(quantile: number): number {
    const ordered = [...this.buckets].sort(([left], [right]) => left - right);
    let cumulativeWeight = 0;
    for (const [bucket, weight] of ordered) {
      cumulativeWeight += weight;
      if (cumulativeWeight >= quantile * this.total) {
        return SMALLEST_VALUE * 2 ** (bucket / BUCKETS_PER_DOUBLING);
      }
    }
    return 0;
  }

  private rescale(): void {
    for (const [bucket, weight] of this.buckets) {
      this.buckets.set(bucket, weight / this.weight);
    }
    this.total /= this.weight;
    this.weight = 1;
  }
}
