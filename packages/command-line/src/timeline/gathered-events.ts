import type { Event } from '@basilcourse/foundation/events/event';

/** Events of all processes that answered, in causal order. */
export interface GatheredEvents {
  readonly events: readonly Event[];
  /** A message for each process that did not answer or has dropped events. */
  readonly missing: readonly string[];
  /** Total size of the responses. */
  readonly bytes: number;
  readonly processes: readonly string[];
}
