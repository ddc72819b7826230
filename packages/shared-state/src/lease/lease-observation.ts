import type { Cell } from '../scheduling/cell.js';

/** State of a cell's lease as last read by one process. */
export interface LeaseObservation {
  readonly cell: Cell;
  /** Local time at which the process read the most recent change. */
  readonly changedAt: number;
}
