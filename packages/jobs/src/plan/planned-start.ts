import type { MinionEntry } from '../state/minion-entry.js';
import type { TaskEntry } from '../state/task-entry.js';

/** A task and the minion chosen for it. */
export interface PlannedStart {
  readonly task: TaskEntry;
  readonly minion: MinionEntry;
  /** Number of tail latency bounds that the choice endangers, with fractions. */
  readonly endangeredBounds: number;
}
