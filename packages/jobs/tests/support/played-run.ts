import type { MinionEntry } from '../../src/state/minion-entry.js';
import type { TaskEntry } from '../../src/state/task-entry.js';

/** A run of a play. */
export interface PlayedRun {
  readonly task: TaskEntry;
  readonly minion: MinionEntry;
  /** Work that is left, in milliseconds at full speed. */
  readonly left: number;
}
