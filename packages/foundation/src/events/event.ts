import type { EventKind } from './event-kind.js';
import type { HybridTimestamp } from './hybrid-timestamp.js';

/** One event of the time line. */
export interface Event {
  readonly timestamp: HybridTimestamp;
  /** Identifier of the process that recorded the event. */
  readonly process: string;
  /** Sequence number of the event within its process, starting at 1. */
  readonly sequence: number;
  readonly kind: EventKind;
  /** One short sentence. */
  readonly text: string;
  readonly request?: string;
  readonly job?: string;
  readonly worker?: string;
}
