import type { SentSwing } from './sent-swing.js';

/** Load of a serving job, as the leader estimates it. */
export interface ServingLoad {
  readonly job: string;
  /** Tail latency of a task whose requests never queue, in milliseconds. */
  readonly floor: number;
  /** Share of the time in which a task without neighbours is busy. */
  readonly load: number;
  /** How the load swings; absent while that is not known. */
  readonly swing?: SentSwing;
}
