import type { TaskTraits } from './task-traits.js';

/** Order to start one run of a task. */
export interface StartOrder {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  readonly checkpoint: string;
  readonly traits: TaskTraits;
  /** Whether the task runs until its job is cancelled; absent if it ends. */
  readonly longRunning?: boolean;
}
