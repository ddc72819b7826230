import type { FillingCores } from './filling-cores.js';
import type { HarmRow } from './harm-row.js';
import type { HarmTable } from './harm-table.js';

/** Squared cores of observations that weigh as much as the prior. */
const PRIOR_WEIGHT = 4;

/** Squared cores of observations that weigh as much as an adopted estimate. */
const ADOPTED_WEIGHT = 200;

/** Part of what is known that is kept at each update. */
const KEPT_PART = 0.997;

const SWEEPS = 15;

interface Model {
  /** Filling images, in the order of the rows below. */
  readonly images: string[];
  /** Sums of products of the images' cores. */
  readonly products: number[][];
  /** Sums of each image's cores times the slowdown seen. */
  readonly moments: number[];
  /** Number of observations with each image. */
  readonly counts: number[];
}

/**
 * Learns how much filling images slow serving ones down: least squares over
 * all that was seen, ridged to a prior and without negative harm, by
 * coordinate descent (Franc, Hlavac, Navara, "Sequential coordinate-wise
 * algorithm for the non-negative least squares problem", CAIP 2005).
 */
export class HarmLearner {
  private readonly models = new Map<string, Model>();

  private readonly table: HarmTable;

  public constructor(table: HarmTable) {
    this.table = table;
  }

  /**
   * Takes in the slowdown of one serving task beside filling ones.
   *
   * @param slowdown - 1 for none.
   * @param overloaded - The tail grows without a bound, so that it shows only
   * the least slowdown.
   * @param cores - As of the time that the slowdown covers.
   */
  public observe(
    serving: string,
    slowdown: number,
    overloaded: boolean,
    cores: FillingCores,
  ): void {
    const added = slowdown - 1;
    if (overloaded && this.expected(serving, cores) > added) {
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

  /** Takes over what an earlier process learned of a pair, unless more is known here. */
  public adopt({ serving, filling, harm, observations }: HarmRow): void {
    const model = this.modelOf(serving);
    const row = rowOf(model, filling);
    if ((model.counts[row] ?? 0) >= observations) {
      return;
    }
    model.counts[row] = observations;
    model.moments[row] = (model.moments[row] ?? 0) + ADOPTED_WEIGHT * harm;
    const line = model.products[row] ?? [];
    line[row] = (line[row] ?? 0) + ADOPTED_WEIGHT;
    model.products[row] = line;
    this.table.set(serving, filling, harm, observations);
  }

  /** Brings the table up to date with what was seen. */
  public update(): void {
    for (const [serving, model] of this.models) {
      const harms = solve(model, this.table, serving);
      model.images.forEach((image, row) => {
        const count = model.counts[row] ?? 0;
        this.table.set(serving, image, harms[row] ?? 0, count);
      });
      fade(model);
    }
  }

  private expected(serving: string, cores: FillingCores): number {
    let sum = 0;
    for (const [image, amount] of cores) {
      sum += amount * this.table.harm(serving, image);
    }
    return sum;
  }

  private modelOf(serving: string): Model {
    const known = this.models.get(serving);
    if (known !== undefined) {
      return known;
    }
    const model = { images: [], products: [], moments: [], counts: [] };
    this.models.set(serving, model);
    return model;
  }
}

function rowOf(model: Model, image: string): number {
  const known = model.images.indexOf(image);
  return known >= 0 ? known : model.images.push(image) - 1;
}

function solve(model: Model, table: HarmTable, serving: string): number[] {
  const harms = model.images.map(image => table.harm(serving, image));
  for (let sweep = 0; sweep < SWEEPS; sweep += 1) {
    model.images.forEach((_, row) => {
      const line = model.products[row] ?? [];
      let others = 0;
      harms.forEach((harm, column) => {
        others += column === row ? 0 : (line[column] ?? 0) * harm;
      });
      const moment = (model.moments[row] ?? 0) + PRIOR_WEIGHT * table.prior;
      const weight = (line[row] ?? 0) + PRIOR_WEIGHT;
      harms[row] = Math.max(0, (moment - others) / weight);
    });
  }
  return harms;
}

function fade(model: Model): void {
  model.images.forEach((_, row) => {
    model.moments[row] = (model.moments[row] ?? 0) * KEPT_PART;
    model.products[row] = (model.products[row] ?? []).map(
      product => product * KEPT_PART,
    );
  });
}
