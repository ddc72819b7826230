import type { BatchCores } from './batch-cores.js';
import type { InterferenceRow } from './interference-row.js';
import type { InterferenceTable } from './interference-table.js';

/** Squared cores of observations that weigh as much as the prior. */
const PRIOR_WEIGHT = 4;

/** Squared cores of observations that weigh as much as an adopted estimate. */
const ADOPTED_WEIGHT = 200;

/** Weight that past observations keep at each update. */
const RETAINED_FRACTION = 0.997;

/** Rounds of coordinate descent at each update. */
const SWEEPS = 15;

interface Model {
  /** Batch images, in the order of the rows below. */
  readonly images: string[];
  /** Sums of products of the images' cores. */
  readonly products: number[][];
  /** Sums of each image's cores times the observed added slowdown. */
  readonly moments: number[];
  /** Number of observations with each image. */
  readonly counts: number[];
}

/**
 * Estimates the slowdown of serving images by batch images, by non-negative
 * least squares over all observations with ridge regularization towards a
 * prior. It is solved by coordinate descent (Franc, Hlavac, Navara, "Sequential
 * coordinate-wise algorithm for the non-negative least squares problem", CAIP
 * 2005).
 */
export class InterferenceEstimator {
  private readonly models = new Map<string, Model>();

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
    const model = this.modelOf(serving);
    const amounts = [...cores].map(
      ([image, amount]) => [rowOf(model, image), amount] as const,
    );
    for (const [row, amount] of amounts) {
      model.moments[row] = (model.moments[row] ?? 0) + amount * added;
      model.counts[row] = (model.counts[row] ?? 0) + 1;
      for (const [column, other] of amounts) {
        const line = model.products[row] ?? [];
        line[column] = (line[column] ?? 0) + amount * other;
        model.products[row] = line;
      }
    }
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
    const row = rowOf(model, batch);
    if ((model.counts[row] ?? 0) >= observations) {
      return;
    }
    model.counts[row] = observations;
    model.moments[row] = (model.moments[row] ?? 0) + ADOPTED_WEIGHT * harm;
    const line = model.products[row] ?? [];
    line[row] = (line[row] ?? 0) + ADOPTED_WEIGHT;
    model.products[row] = line;
    this.table.set(serving, batch, harm, observations);
  }

  /** Updates the table from the observations. */
  public update(): void {
    for (const [serving, model] of this.models) {
      const slowdowns = solve(model, this.table, serving);
      model.images.forEach((image, row) => {
        const count = model.counts[row] ?? 0;
        this.table.set(serving, image, slowdowns[row] ?? 0, count);
      });
      decay(model);
    }
  }

  private expectedSlowdown(serving: string, cores: BatchCores): number {
    let sum = 0;
    for (const [image, amount] of cores) {
      sum += amount * this.table.slowdownPerCore(serving, image);
    }
    return sum;
  }

  private modelOf(serving: string): Model {
    const existing = this.models.get(serving);
    if (existing !== undefined) {
      return existing;
    }
    const model = { images: [], products: [], moments: [], counts: [] };
    this.models.set(serving, model);
    return model;
  }
}

function rowOf(model: Model, image: string): number {
  const position = model.images.indexOf(image);
  return position >= 0 ? position : model.images.push(image) - 1;
}

function solve(
  model: Model,
  table: InterferenceTable,
  serving: string,
): number[] {
  const slowdowns = model.images.map(image =>
    table.slowdownPerCore(serving, image),
  );
  for (let sweep = 0; sweep < SWEEPS; sweep += 1) {
    model.images.forEach((_, row) => {
      const line = model.products[row] ?? [];
      let others = 0;
      slowdowns.forEach((slowdown, column) => {
        others += column === row ? 0 : (line[column] ?? 0) * slowdown;
      });
      const moment =
        (model.moments[row] ?? 0) + PRIOR_WEIGHT * table.priorSlowdownPerCore;
      const weight = (line[row] ?? 0) + PRIOR_WEIGHT;
      slowdowns[row] = Math.max(0, (moment - others) / weight);
    });
  }
  return slowdowns;
}

function decay(model: Model): void {
  model.images.forEach((_, row) => {
    model.moments[row] = (model.moments[row] ?? 0) * RETAINED_FRACTION;
    model.products[row] = (model.products[row] ?? []).map(
      product => product * RETAINED_FRACTION,
    );
  });
}
