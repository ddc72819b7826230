import type { WorkerCondition } from '../records/decision.js';
import type { Resources } from '../records/resources.js';
import type { WorkerDescription } from '../records/worker-description.js';

/** State of a worker; the same in all processes at one offset of the log. */
export interface Worker {
  readonly description: WorkerDescription;
  readonly cell: string;
  readonly condition: WorkerCondition;
  readonly reason: string;
  /** Sum over all attempts that may still run on the worker. */
  readonly assigned: Resources;
}
