import type { LeaderRecord } from '../leadership/leader-record.js';

/** Where the leader's records are kept, in one order for all. */
export interface LeadershipLog {
  /** Returns the newest record, and the offset that follows it. */
  readonly newest: () => Promise<LeadershipPage>;
  /** Waits for records from an offset on, for a while. */
  readonly follow: (
    from: number,
    waitMilliseconds: number,
  ) => Promise<LeadershipPage>;
  /** Appends if nothing was appended since the offset; true if it was. */
  readonly claim: (record: LeaderRecord, at: number) => Promise<boolean>;
  /** Appends unless a higher epoch was seen; false if one was. */
  readonly renew: (record: LeaderRecord, sequence: number) => Promise<boolean>;
}

interface LeadershipPage {
  readonly record: LeaderRecord | undefined;
  readonly end: number;
}
