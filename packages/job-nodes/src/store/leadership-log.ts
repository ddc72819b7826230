import type { LeaderRecord } from '../leadership/leader-record.js';
import type { LeadershipPage } from './leadership-page.js';

/** Totally ordered log of leader records. */
export interface LeadershipLog {
  /** Returns the newest record, and the offset that follows it. */
  readonly newest: () => Promise<LeadershipPage>;
  /** Waits up to the given time for records from an offset on. */
  readonly follow: (
    fromOffset: number,
    waitMilliseconds: number,
  ) => Promise<LeadershipPage>;
  /** Appends if the log still ends at the offset; true if appended. */
  readonly claim: (
    record: LeaderRecord,
    expectedEnd: number,
  ) => Promise<boolean>;
  /** Appends unless a higher epoch has been used; true if appended. */
  readonly renew: (record: LeaderRecord, sequence: number) => Promise<boolean>;
}
