import type { LoadSample } from './load-sample.js';

/** Measured loads of one job. */
export interface JobLoads {
  readonly samples: readonly LoadSample[];
  readonly unloadedTailLatency: number;
}
