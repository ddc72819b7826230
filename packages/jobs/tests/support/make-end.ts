import type { EndReason } from '../../src/model/end-reason.js';
import type { RunEnd } from '../../src/model/run-end.js';

/** Returns the end of a run. */
export function makeEnd(task: string, run: number, reason: EndReason): RunEnd {
  return { number: 1, task, run, reason, checkpoint: 'kept' };
}
