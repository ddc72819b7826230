import type { QueueConfiguration } from '../configuration/queue-configuration.js';
import type { LeaderRecord } from '../leadership/leader-record.js';

/** Message from an entry to the entries that watch it; one line of JSON. */
export interface WatchMessage {
  readonly leader?: LeaderRecord;
  readonly configuration?: QueueConfiguration;
  /** The most processor time that an entry known to the sender can use. */
  readonly mostCores?: number;
}
