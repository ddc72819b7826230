import type { HarmTable } from '../pace/harm-table.js';
import type { LoadWatch } from '../pace/load-watch.js';
import { allowedSlowdown, loadOf } from '../pace/queue-model.js';
import type { TaskEntry } from '../state/task-entry.js';

/** Part of its bound up to which a serving task's tail may be driven. */
const BOUND_PART = 0.9;

/** Loads swing; a task that fills meets at least this one in its time. */
const LEAST_LOAD = 0.5;

/** Bound over floor where the floor is not known yet. */
const UNKNOWN_FLOOR_PART = 0.2;

/** Estimates what a filling task does to a serving one. */
export class HarmEstimate {
  private readonly harms: HarmTable;

  private readonly loads: LoadWatch;

  private readonly now: number;

  public constructor(harms: HarmTable, loads: LoadWatch, now: number) {
    this.harms = harms;
    this.loads = loads;
    this.now = now;
  }

  /** Slowdown that some cores of a filling image add to a serving image. */
  public slowdown(serving: string, filling: string, cores: number): number {
    return cores * this.harms.harm(serving, filling);
  }

  /** Slowdown that a serving task bears. */
  public bearable(serving: TaskEntry): number {
    const bound = serving.specification.tailTargetMilliseconds * BOUND_PART;
    const job = serving.jobIdentifier;
    const known = this.loads.floor(job);
    const floor = known > 0 ? known : bound * UNKNOWN_FLOOR_PART;
    const load = loadOf(this.loads.quietTailAhead(job, this.now), floor);
    const met = Math.max(LEAST_LOAD, load);
    return Math.max(0.05, allowedSlowdown(bound, floor, met) - 1);
  }
}
