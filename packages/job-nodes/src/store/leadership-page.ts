import type { LeaderRecord } from '../leadership/leader-record.js';

/** Result of reading the log of leader records. */
export interface LeadershipPage {
  /** The newest record that was read; undefined if there was none. */
  readonly record: LeaderRecord | undefined;
  /** Offset that follows the newest record that was read. */
  readonly end: number;
}
