import type { QueueConfiguration } from '../configuration/queue-configuration.js';
import type { LeaderRecord } from '../leadership/leader-record.js';

/** What an entry tells those that watch it, one message a line. */
export interface WatchMessage {
  readonly leader?: LeaderRecord;
  readonly configuration?: QueueConfiguration;
}
