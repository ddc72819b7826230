import type { RecordEnvelope } from './record-envelope.js';

/** A record as stored in the platform's log. */
export interface StoredRecord {
  /** Position in the log, starting at 0. */
  readonly offset: number;
  readonly envelope: RecordEnvelope;
}
