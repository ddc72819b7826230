import type { InterferenceRow } from './interference-row.js';
import type { LowestTailLatency } from './lowest-tail-latency.js';

/**
 * Interference and lowest tail latencies of images, from the reports of all
 * minions; handed over when the leader changes.
 */
export interface ImageStatistics {
  readonly harms: readonly InterferenceRow[];
  readonly lowestTails: readonly LowestTailLatency[];
}
