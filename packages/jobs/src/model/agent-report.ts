import type { MinionDescription } from './minion-description.js';
import type { RunEnd } from './run-end.js';
import type { RunningTask } from './running-task.js';
import type { StartRefusal } from './start-refusal.js';

/** State of a minion at one moment, as its agent reports it. */
export interface AgentReport {
  /** Fencing token under which the agent read the runs from the minion. */
  readonly fencingToken: number;
  /** Null while the agent has found no running minion. */
  readonly minion: MinionDescription | null;
  readonly running: readonly RunningTask[];
  readonly ends: readonly RunEnd[];
  /**
   * Whether the minion has more ends than those above, so that a run that is
   * not listed may have ended; absent if it has none.
   */
  readonly hasMoreEnds?: boolean;
  readonly refusals: readonly StartRefusal[];
  /** Incarnations whose processes and runs have ended. */
  readonly gone: readonly string[];
  /**
   * Tasks with a start that no list has shown, and that an incarnation which the
   * agent has not met may have carried out, or may carry out; absent if none.
   */
  readonly unsettled?: readonly string[];
}
