import type { LeaderRecord } from './leader-record.js';

/** Silence after which a leader counts as gone. */
export const CLAIM_AFTER_MILLISECONDS = 2000;

/** What a candidate knows. */
export interface ClaimView {
  readonly record: LeaderRecord | undefined;
  /** Time since the newest record was read. */
  readonly silentMilliseconds: number;
  readonly ownName: string;
  readonly ownLife: string;
  /** The leader's process surely lives no more. */
  readonly provenGone: boolean;
  /** Time that this candidate leaves to better placed ones. */
  readonly courtesyMilliseconds: number;
}

/**
 * Decides whether to claim the lead: at once where the leader surely is gone,
 * otherwise after a silence that is longer than its own lease.
 */
export function shouldClaim(view: ClaimView): boolean {
  const { record, silentMilliseconds, courtesyMilliseconds } = view;
  if (record !== undefined && isOwnEarlierLife(record, view)) {
    return true;
  }
  const free =
    record === undefined ||
    record.resigned ||
    record.life === view.ownLife ||
    view.provenGone;
  const wait = free ? 0 : CLAIM_AFTER_MILLISECONDS;
  return silentMilliseconds >= wait + courtesyMilliseconds;
}

function isOwnEarlierLife(record: LeaderRecord, view: ClaimView): boolean {
  return record.name === view.ownName && record.life !== view.ownLife;
}
