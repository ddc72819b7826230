import type { EndReason } from './end-reason.js';

/** End of a run, as its minion lists it. */
export interface RunEnd {
  /** Number of the end in this incarnation of the minion, from 1. */
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly reason: EndReason;
  /** Checkpoint to resume from; empty for none. */
  readonly checkpoint: string;
}
