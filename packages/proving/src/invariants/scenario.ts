import type { Fault } from './fault.js';

/** Input of a simulation run with faults. */
export interface Scenario {
  readonly seed: number;
  readonly workers: number;
  readonly jobs: number;
  readonly faults: readonly Fault[];
}
