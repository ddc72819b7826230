import type { PlayedJob } from './played-job.js';

/** Minions, and what happens on them. */
export interface PlayedLoad {
  /** Processor time of each minion; memory is 4 MB a millicore. */
  readonly minions: readonly number[];
  readonly jobs: readonly PlayedJob[];
  /** Minions that back off for 400 ms, as [time, minion]. */
  readonly backoffs: readonly (readonly [number, number])[];
  readonly milliseconds: number;
}
