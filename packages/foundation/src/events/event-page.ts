import type { Event } from './event.js';

/** Events of one process, as sent to the command line. */
export interface EventPage {
  readonly process: string;
  readonly events: readonly Event[];
  /**
   * Number of requested events that the ring buffer had already overwritten.
   */
  readonly dropped: number;
}
