import type { MinionDescription } from '../model/minion-description.js';
import type { MinionRun } from './minion-run.js';
import { MinionUsage } from './minion-usage.js';
import type { TaskEntry } from './task-entry.js';

/** State of one incarnation of a minion on the leader. */
export class MinionEntry {
  private readonly runsByKey = new Map<string, MinionRun>();

  /** What the runs take of the minion. */
  public readonly usage = new MinionUsage();

  /** Description sent by its agent; undefined until the agent has reported. */
  public description: MinionDescription | undefined;

  /** Name of the agent on its VM; empty until the agent has reported. */
  public agent = '';

  /**
   * Whether the agent's stream is open and the agent has sent a report that it
   * read from the minion under the fencing token of that stream.
   */
  public connected = false;

  /** Fencing token of the agent's stream; 0 before its first report. */
  public fencingToken = 0;

  /** Unix milliseconds of the last message from the agent. */
  public lastContactAt: number;

  /** Unix milliseconds of the last report about the minion, or of its record. */
  public reportedAt: number;

  /**
   * Unix milliseconds until which the minion may hold a lease that a call for an
   * earlier incarnation gave it; 0 before its first report.
   */
  public inheritedLeaseUntil = 0;

  /**
   * Unix milliseconds from which on a lease that the leader grants ends later than
   * an inherited one, so that a run that is listed ends with it.
   */
  public confirmsRunsFrom = Number.POSITIVE_INFINITY;

  /** Unix milliseconds before which the minion gets no new starts. */
  public backoffUntil = 0;

  /** Number of failed runs since the last successful one. */
  public consecutiveFailures = 0;

  public readonly incarnation: string;

  public constructor(incarnation: string, lastContactAt: number) {
    this.incarnation = incarnation;
    this.lastContactAt = lastContactAt;
    this.reportedAt = lastContactAt;
  }

  /** Runs that are or may be on the minion, by task and run. */
  public get runs(): ReadonlyMap<string, MinionRun> {
    return this.runsByKey;
  }

  /** Records the first report on the incarnation, after which its leases are known. */
  public recordFirstReport(
    grantedMilliseconds: number,
    inheritedMilliseconds: number,
    now: number,
  ): void {
    if (this.inheritedLeaseUntil === 0) {
      this.inheritedLeaseUntil = now + inheritedMilliseconds;
      this.confirmsRunsFrom = this.inheritedLeaseUntil - grantedMilliseconds;
    }
  }

  /** Records that a run is or may be on the minion. */
  public addRun(task: TaskEntry, run: number): void {
    const key = `${task.name}/${run}`;
    if (!this.runsByKey.has(key)) {
      this.runsByKey.set(key, { task, run });
      task.placements += 1;
      this.usage.add(task);
    }
  }

  /** Records that a run is no longer on the minion. */
  public removeRun(task: string, run: number): void {
    const key = `${task}/${run}`;
    const removed = this.runsByKey.get(key);
    if (removed !== undefined) {
      this.runsByKey.delete(key);
      removed.task.placements -= 1;
      this.usage.remove(removed.task);
    }
  }
}
