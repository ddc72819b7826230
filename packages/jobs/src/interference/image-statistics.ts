import type { InterferenceRow } from './interference-row.js';
import type { LowestTailLatency } from './lowest-tail-latency.js';

/** What all minions have shown of images; kept when the leader changes. */
export interface ImageStatistics {
  readonly harms: readonly InterferenceRow[];
  readonly lowestTails: readonly LowestTailLatency[];
}
