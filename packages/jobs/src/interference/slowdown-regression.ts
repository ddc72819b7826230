import type { BatchCores } from './batch-cores.js';

/** Rounds of coordinate descent for each solution. */
const SWEEPS = 15;

/**
 * Estimates the slowdown of one serving image by a core of each batch image, by
 * non-negative least squares over all observations with ridge regularization
 * towards a prior. It is solved by coordinate descent (Franc, Hlavac, Navara,
 * "Sequential coordinate-wise algorithm for the non-negative least squares
 * problem", CAIP 2005).
 */
export class SlowdownRegression {
  /** Batch images, in the order of the rows below. */
  public readonly images: string[] = [];

  /** Sums of products of the images' cores. */
  private products: number[][] = [];

  /** Sums of each image's cores times the observed added slowdown. */
  private moments: number[] = [];

  private readonly counts: number[] = [];

  /** Number of observations with a batch image. */
  public countOf(image: string): number {
    return this.counts[this.rowOf(image)] ?? 0;
  }

  /** Records the slowdown that busy cores added. */
  public observe(addedSlowdown: number, cores: BatchCores): void {
    const amounts = [...cores].map(
      ([image, amount]) => [this.rowOf(image), amount] as const,
    );
    for (const [row, amount] of amounts) {
      this.moments[row] = (this.moments[row] ?? 0) + amount * addedSlowdown;
      this.counts[row] = (this.counts[row] ?? 0) + 1;
      for (const [column, other] of amounts) {
        this.addProduct(row, column, amount * other);
      }
    }
  }

  /**
   * Adopts an estimate from other observations.
   *
   * @param weight - Squared cores of the observations that it stands for.
   */
  public adopt(
    image: string,
    slowdownPerCore: number,
    weight: number,
    observations: number,
  ): void {
    const row = this.rowOf(image);
    this.counts[row] = observations;
    this.moments[row] = (this.moments[row] ?? 0) + weight * slowdownPerCore;
    this.addProduct(row, row, weight);
  }

  /**
   * Returns the added slowdown per core of each image, in the order of `images`.
   *
   * @param start - Slowdown of an image from which the solution starts.
   * @param prior - Slowdown of an image that is assumed without observations.
   * @param priorWeight - Squared cores of observations that weigh as much.
   */
  public solve(
    start: (image: string) => number,
    prior: (image: string) => number,
    priorWeight: number,
  ): readonly number[] {
    const slowdowns = this.images.map(start);
    const priors = this.images.map(prior);
    for (let sweep = 0; sweep < SWEEPS; sweep += 1) {
      this.images.forEach((_, row) => {
        const line = this.products[row] ?? [];
        let others = 0;
        slowdowns.forEach((slowdown, column) => {
          others += column === row ? 0 : (line[column] ?? 0) * slowdown;
        });
        const moment =
          (this.moments[row] ?? 0) + priorWeight * (priors[row] ?? 0);
        const weight = (line[row] ?? 0) + priorWeight;
        slowdowns[row] = Math.max(0, (moment - others) / weight);
      });
    }
    return slowdowns;
  }

  /** Lets all observations so far weigh less. */
  public decay(retainedFraction: number): void {
    this.moments = this.moments.map(moment => moment * retainedFraction);
    this.products = this.products.map(line =>
      line.map(product => product * retainedFraction),
    );
  }

  private rowOf(image: string): number {
    const position = this.images.indexOf(image);
    return position >= 0 ? position : this.images.push(image) - 1;
  }

  private addProduct(row: number, column: number, product: number): void {
    const line = this.products[row] ?? [];
    line[column] = (line[column] ?? 0) + product;
    this.products[row] = line;
  }
}
