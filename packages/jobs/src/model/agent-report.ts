import type { MinionDescription } from './minion-description.js';
import type { RunEnd } from './run-end.js';
import type { RunningTask } from './running-task.js';
import type { StartRefusal } from './start-refusal.js';

/** What an agent knows about its minion at one moment. */
export interface AgentReport {
  /** Fencing token under which the lists were read. */
  readonly fencingToken: number;
  /** Absent while no minion is known to live there. */
  readonly minion: MinionDescription | null;
  readonly running: readonly RunningTask[];
  readonly ends: readonly RunEnd[];
  readonly refusals: readonly StartRefusal[];
  /** Incarnations of which surely nothing runs any more. */
  readonly gone: readonly string[];
}
