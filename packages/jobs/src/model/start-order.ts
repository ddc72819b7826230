import type { TaskTraits } from './task-traits.js';

/** Order to start one run of a task. */
export interface StartOrder {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  readonly checkpoint: string;
  readonly traits: TaskTraits;
}
