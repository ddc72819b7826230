import type { BatchCores } from './batch-cores.js';
import type { InterferenceTable } from './interference-table.js';
import { SlowdownRegression } from './slowdown-regression.js';

/** Squared cores of observations that weigh as much as the shared estimate. */
const SHARED_WEIGHT = 40;

/** Weight that observations keep from one measurement to the next. */
const RETAINED_FRACTION = 0.85;

/**
 * Estimates the interference on one minion: the estimates of all minions,
 * corrected by the newest measurements here, as interference changes within
 * seconds.
 */
export class LocalInterference {
  /** Estimates from all minions. */
  public readonly shared: InterferenceTable;

  private readonly regressions = new Map<string, SlowdownRegression>();

  /** Slowdown per core by serving image, then batch image. */
  private estimates: ReadonlyMap<string, ReadonlyMap<string, number>> =
    new Map();

  public constructor(shared: InterferenceTable) {
    this.shared = shared;
  }

  /** Records the slowdown of a task that was measured beside busy cores. */
  public observe(
    serving: string,
    addedSlowdown: number,
    cores: BatchCores,
  ): void {
    const regression =
      this.regressions.get(serving) ?? new SlowdownRegression();
    this.regressions.set(serving, regression);
    regression.observe(addedSlowdown, cores);
  }

  /** Updates the estimates after the observations of one measurement. */
  public update(): void {
    const estimates = new Map<string, ReadonlyMap<string, number>>();
    for (const [serving, regression] of this.regressions) {
      const prior = (batch: string): number =>
        this.shared.slowdownPerCore(serving, batch);
      const slowdowns = regression.solve(prior, prior, SHARED_WEIGHT);
      const row = new Map<string, number>();
      regression.images.forEach((batch, position) => {
        row.set(batch, slowdowns[position] ?? 0);
      });
      estimates.set(serving, row);
      regression.decay(RETAINED_FRACTION);
    }
    this.estimates = estimates;
  }

  /** Returns the slowdown that one busy core of the batch image adds. */
  public slowdownPerCore(serving: string, batch: string): number {
    return (
      this.estimates.get(serving)?.get(batch) ??
      this.shared.slowdownPerCore(serving, batch)
    );
  }

  /** Forgets what was measured here. */
  public reset(): void {
    this.regressions.clear();
    this.estimates = new Map();
  }
}
