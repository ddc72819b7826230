import type { InterferenceTable } from '../interference/interference-table.js';
import type { LoadMonitor } from '../interference/load-monitor.js';
import { allowedSlowdown, loadOf } from '../interference/queue-model.js';
import type { TaskEntry } from '../state/task-entry.js';

/** Part of its bound up to which a serving task's tail latency may rise. */
const BOUND_FRACTION = 0.9;

/** Loads vary; while a batch task runs, the load is assumed to reach this. */
const MINIMUM_LOAD = 0.5;

/** Without an estimate, the unloaded tail latency is this part of the bound. */
const DEFAULT_UNLOADED_FRACTION = 0.2;

/** Predicts how much batch tasks slow serving tasks down. */
export class InterferencePredictor {
  private readonly interference: InterferenceTable;

  private readonly loads: LoadMonitor;

  private readonly now: number;

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
    return cores * this.interference.slowdownPerCore(serving, batch);
  }

  /** Returns the added slowdown that a serving task tolerates. */
  public tolerableSlowdown(serving: TaskEntry): number {
    const bound = serving.specification.tailTargetMilliseconds * BOUND_FRACTION;
    const job = serving.jobIdentifier;
    const estimate = this.loads.unloadedTailLatency(job);
    const unloadedTailLatency =
      estimate > 0 ? estimate : bound * DEFAULT_UNLOADED_FRACTION;
    const load = loadOf(
      this.loads.predictedIsolatedTailLatency(job, this.now),
      unloadedTailLatency,
    );
    const expectedLoad = Math.max(MINIMUM_LOAD, load);
    return Math.max(
      0.05,
      allowedSlowdown(bound, unloadedTailLatency, expectedLoad) - 1,
    );
  }
}
