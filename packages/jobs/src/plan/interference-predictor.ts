import { memo } from '@basilcourse/foundation/util/memo';

import type { InterferenceTable } from '../interference/interference-table.js';
import type { LoadMonitor } from '../interference/load-monitor.js';
import { highestLoad } from '../interference/load-swing.js';
import { allowedSlowdown, loadOf } from '../interference/queue-model.js';
import type { TaskEntry } from '../state/task-entry.js';

/** Part of its bound up to which a serving task's tail latency may rise. */
const BOUND_FRACTION = 0.9;

/** An unknown load is assumed to reach this while a batch task runs. */
const MINIMUM_LOAD = 0.5;

/** Time for which a bound is to hold after a start. */
const PREDICTED_MILLISECONDS = 2500;

/** Without an estimate, the unloaded tail latency is this part of the bound. */
const DEFAULT_UNLOADED_FRACTION = 0.2;

/**
 * Predicts how much batch tasks slow serving tasks down. Intended for one round
 * of planning: what it has looked up it does not look up again.
 */
export class InterferencePredictor {
  private readonly interference: InterferenceTable;

  private readonly loads: LoadMonitor;

  private readonly now: number;

  /** Slowdown per core by serving image, then batch image. */
  private readonly slowdowns = new Map<string, Map<string, number>>();

  /** Whether the load of a serving job is forecast, by job. */
  private readonly forecasts = new Map<string, boolean>();

  /** Tolerable slowdown by serving job, then bound. */
  private readonly tolerances = new Map<string, Map<number, number>>();

  public constructor(
    interference: InterferenceTable,
    loads: LoadMonitor,
    now: number,
  ) {
    this.interference = interference;
    this.loads = loads;
    this.now = now;
  }

  /** Returns the slowdown that cores of a batch image add to a serving image. */
  public slowdown(serving: string, batch: string, cores: number): number {
    const row = memo(this.slowdowns, serving, () => new Map<string, number>());
    return (
      cores *
      memo(row, batch, () => this.interference.slowdownPerCore(serving, batch))
    );
  }

  /** Returns the added slowdown that a serving task tolerates. */
  public tolerableSlowdown({
    jobIdentifier,
    specification,
  }: TaskEntry): number {
    const { tailTargetMilliseconds } = specification;
    const row = memo(
      this.tolerances,
      jobIdentifier,
      () => new Map<number, number>(),
    );
    return memo(row, tailTargetMilliseconds, () =>
      this.predictTolerance(jobIdentifier, tailTargetMilliseconds),
    );
  }

  /** Whether the load of a serving task is forecast. */
  public isForecast({ jobIdentifier }: TaskEntry): boolean {
    return memo(
      this.forecasts,
      jobIdentifier,
      () => this.loads.swingOf(jobIdentifier, this.now) !== undefined,
    );
  }

  private predictTolerance(job: string, target: number): number {
    const bound = target * BOUND_FRACTION;
    const estimate = this.loads.unloadedTailLatency(job);
    const unloadedTailLatency =
      estimate > 0 ? estimate : bound * DEFAULT_UNLOADED_FRACTION;
    const load = this.predictLoad(job, unloadedTailLatency);
    return Math.max(
      0.05,
      allowedSlowdown(bound, unloadedTailLatency, load) - 1,
    );
  }

  /** Returns the highest load that is expected while a batch task runs. */
  private predictLoad(job: string, unloadedTailLatency: number): number {
    const { loads, now } = this;
    const swing = loads.swingOf(job, now);
    if (swing !== undefined) {
      return highestLoad(swing, now, now + PREDICTED_MILLISECONDS);
    }
    const tailLatency = loads.predictedIsolatedTailLatency(job, now);
    return Math.max(MINIMUM_LOAD, loadOf(tailLatency, unloadedTailLatency));
  }
}
