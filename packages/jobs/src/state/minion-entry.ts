import type { MinionDescription } from '../model/minion-description.js';
import type { MinionRun } from './minion-run.js';
import type { TaskEntry } from './task-entry.js';

/** One life of a minion, as the leader sees it. */
export class MinionEntry {
  /** Everything that is or may be on the minion, by task and run. */
  public readonly runs = new Map<string, MinionRun>();

  /** What its agent says of it; undefined until the agent has reported. */
  public description: MinionDescription | undefined;

  /** Name of the agent beside it; empty until the agent has reported. */
  public agent = '';

  /** The agent's stream is open and its lists were read under its token. */
  public connected = false;

  /** Fencing token of the agent's stream; 0 before its first report. */
  public fencingToken = 0;

  /** When the agent was last heard. */
  public heardAt: number;

  /** Not used for new starts before this time. */
  public restsUntil = 0;

  /** Starts refused or failed in a row. */
  public faultsInRow = 0;

  public readonly incarnation: string;

  public constructor(incarnation: string, heardAt: number) {
    this.incarnation = incarnation;
    this.heardAt = heardAt;
  }

  /** Notes that a run is or may be on the minion. */
  public hold(entry: TaskEntry, run: number): void {
    this.runs.set(`${entry.name}/${run}`, { entry, run });
  }

  /** Notes that a run is on the minion no more. */
  public drop(task: string, run: number): void {
    this.runs.delete(`${task}/${run}`);
  }
}
