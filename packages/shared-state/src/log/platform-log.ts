import type { LogPage } from './log-page.js';
import type { RecordEnvelope } from './record-envelope.js';

/**
 * The platform's append-only log.
 *
 * Both calls reject with PeerUnreachableError when the store cannot be reached,
 * does not answer in time or sends a malformed answer. A rejected append may
 * still have taken effect.
 */
export interface PlatformLog {
  /** Appends one record and returns its offset. */
  readonly append: (envelope: RecordEnvelope) => Promise<number>;
  /** Reads at most `maximum` records, starting at an offset. */
  readonly read: (from: number, maximum: number) => Promise<LogPage>;
}
