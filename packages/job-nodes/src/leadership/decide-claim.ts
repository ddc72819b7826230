import type { LeaderRecord } from './leader-record.js';

/** Time without a new record after which a leader counts as failed. */
export const LEADER_TIMEOUT_MILLISECONDS = 2000;

/** What a candidate bases its decision on. */
export interface ClaimView {
  readonly record: LeaderRecord | undefined;
  /** Time since the newest record was read. */
  readonly sinceRecordMilliseconds: number;
  readonly ownName: string;
  readonly ownIncarnation: string;
  /** The leader's process is known to have terminated. */
  readonly leaderTerminated: boolean;
  /** Additional wait that lets candidates nearer to the log claim first. */
  readonly claimDelayMilliseconds: number;
}

/**
 * Decides whether to claim leadership: right after the claim delay if there
 * surely is no leader, otherwise only after a timeout that is longer than a
 * leader's lease. A restarted leader process claims at once.
 */
export function shouldClaim(view: ClaimView): boolean {
  const { record, sinceRecordMilliseconds, claimDelayMilliseconds } = view;
  if (record !== undefined && isOwnEarlierIncarnation(record, view)) {
    return true;
  }
  const vacant =
    record === undefined ||
    record.resigned ||
    record.life === view.ownIncarnation ||
    view.leaderTerminated;
  const timeout = vacant ? 0 : LEADER_TIMEOUT_MILLISECONDS;
  return sinceRecordMilliseconds >= timeout + claimDelayMilliseconds;
}

function isOwnEarlierIncarnation(
  record: LeaderRecord,
  view: ClaimView,
): boolean {
  return record.name === view.ownName && record.life !== view.ownIncarnation;
}
