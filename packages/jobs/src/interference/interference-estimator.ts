import type { BatchCores } from './batch-cores.js';
import type { InterferenceRow } from './interference-row.js';
import type { InterferenceTable } from './interference-table.js';
import { SlowdownRegression } from './slowdown-regression.js';

/** Squared cores of observations that weigh as much as the prior. */
const PRIOR_WEIGHT = 4;

/** Squared cores of observations that weigh as much as an adopted estimate. */
const ADOPTED_WEIGHT = 200;

/** Weight that past observations keep at each update. */
const RETAINED_FRACTION = 0.997;

/**
 * Estimates the slowdown of serving images by batch images from the observations
 * of all minions.
 */
export class InterferenceEstimator {
  private readonly models = new Map<string, SlowdownRegression>();

  private readonly table: InterferenceTable;

  public constructor(table: InterferenceTable) {
    this.table = table;
  }

  /**
   * Records the slowdown of one serving task next to batch tasks.
   *
   * @param slowdown - 1 for none.
   * @param overloaded - The queue grows without bound, so that the tail latency
   * gives only a lower bound of the slowdown.
   * @param cores - Busy cores during the period that the slowdown covers.
   */
  public observe(
    serving: string,
    slowdown: number,
    overloaded: boolean,
    cores: BatchCores,
  ): void {
    const added = slowdown - 1;
    if (overloaded && this.expectedSlowdown(serving, cores) > added) {
      return;
    }
    this.modelOf(serving).observe(added, cores);
  }

  /**
   * Adopts the estimate of an earlier process for a pair, unless at least as
   * many observations are recorded here.
   */
  public adopt({
    serving,
    filling: batch,
    harm,
    observations,
  }: InterferenceRow): void {
    const model = this.modelOf(serving);
    if (model.countOf(batch) >= observations) {
      return;
    }
    model.adopt(batch, harm, ADOPTED_WEIGHT, observations);
    this.table.set(serving, batch, harm, observations);
  }

  /** Updates the table from the observations. */
  public update(): void {
    for (const [serving, model] of this.models) {
      const slowdowns = model.solve(
        image => this.table.slowdownPerCore(serving, image),
        () => this.table.priorSlowdownPerCore,
        PRIOR_WEIGHT,
      );
      model.images.forEach((image, row) => {
        const slowdown = slowdowns[row] ?? 0;
        this.table.set(serving, image, slowdown, model.countOf(image));
      });
      model.decay(RETAINED_FRACTION);
    }
  }

  /** Returns the slowdown that busy cores are estimated to add. */
  public expectedSlowdown(serving: string, cores: BatchCores): number {
    let sum = 0;
    for (const [image, amount] of cores) {
      sum += amount * this.table.slowdownPerCore(serving, image);
    }
    return sum;
  }

  private modelOf(serving: string): SlowdownRegression {
    const model = this.models.get(serving) ?? new SlowdownRegression();
    this.models.set(serving, model);
    return model;
  }
}
