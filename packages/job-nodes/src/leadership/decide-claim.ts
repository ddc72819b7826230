import type { LeaderRecord } from './leader-record.js';

/** Time without a new record after which a leader counts as failed. */
export const LEADER_TIMEOUT_MILLISECONDS = 2000;

/** State on which a candidate decides whether to claim leadership. */
export interface ClaimConditions {
  readonly record: LeaderRecord | undefined;
  /** Time since the newest record was read. */
  readonly sinceRecordMilliseconds: number;
  readonly ownName: string;
  readonly ownIncarnation: string;
  /** The leader's process has terminated. */
  readonly leaderTerminated: boolean;
  /** Additional wait that lets candidates nearer to the log claim first. */
  readonly claimDelayMilliseconds: number;
}

/**
 * Decides whether to claim leadership: right after the claim delay if there
 * certainly is no leader, otherwise only after a timeout that is longer than a
 * leader's lease. A leader's process that has restarted claims at once.
 */
export function shouldClaim(conditions: ClaimConditions): boolean {
  const { record, sinceRecordMilliseconds, claimDelayMilliseconds } =
    conditions;
  if (record !== undefined && isOwnEarlierIncarnation(record, conditions)) {
    return true;
  }
  const vacant =
    record === undefined ||
    record.resigned ||
    record.life === conditions.ownIncarnation ||
    conditions.leaderTerminated;
  const timeout = vacant ? 0 : LEADER_TIMEOUT_MILLISECONDS;
  return sinceRecordMilliseconds >= timeout + claimDelayMilliseconds;
}

function isOwnEarlierIncarnation(
  record: LeaderRecord,
  own: ClaimConditions,
): boolean {
  return record.name === own.ownName && record.life !== own.ownIncarnation;
}
