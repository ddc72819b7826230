import type { QueueConfiguration } from '../configuration/queue-configuration.js';
import type { LeaderRecord } from '../leadership/leader-record.js';

/** Message of an entry to the entries that watch it, one message a line. */
export interface WatchMessage {
  readonly leader?: LeaderRecord;
  readonly configuration?: QueueConfiguration;
}
