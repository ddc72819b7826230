import type { HarmRow } from './harm-row.js';
import type { LowestTail } from './lowest-tail.js';

/** What all minions have shown of images; it outlasts the leader that learned it. */
export interface ImageKnowledge {
  readonly harms: readonly HarmRow[];
  readonly lowestTails: readonly LowestTail[];
}
