import type { TaskReport } from '../platform/task-report.js';

/** State of a worker as last observed by the holder of its cell's lease. */
export interface WorkerView {
  readonly worker: string;
  /** Time of the most recent answer; 0 before the first. */
  readonly answeredAt: number;
  /** Time of the first failed call since that answer; 0 if none failed. */
  readonly failingSince: number;
  readonly tasks: ReadonlyMap<string, TaskReport>;
  /** Memory in use according to the most recent samples. */
  readonly usedMemoryGigabytes: number;
  /** Processors in use according to the most recent samples. */
  readonly usedProcessors: number;
}
