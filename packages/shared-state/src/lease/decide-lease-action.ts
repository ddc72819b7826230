import type { LeaseAction } from './lease-action.js';
import type { LeaseObservation } from './lease-observation.js';

/** Maximum assumed relative difference between the rates of two clocks. */
export const CLOCK_DRIFT_SHARE = 0.01;

/** Delay per rank, which keeps candidates from claiming simultaneously. */
const CLAIM_STAGGER_MILLISECONDS = 250;

/** Renewals sent per duration of a lease. */
const RENEWALS_PER_LEASE = 4;

/** Input of the decision on a lease. */
export interface LeaseDecisionInput {
  readonly observation: LeaseObservation;
  /** Instance of the candidate. */
  readonly instance: string;
  /** Rank of the candidate among the live candidates, starting at 0. */
  readonly rank: number;
  readonly leaseMilliseconds: number;
  /** Time at which the candidate last sent a renewal or claim. */
  readonly lastSentAt: number;
}

/** Decides whether a candidate claims or renews a cell's lease, or waits. */
export function decideLeaseAction(
  input: LeaseDecisionInput,
  now: number,
): LeaseAction {
  const { observation, instance, rank, leaseMilliseconds } = input;
  const renewalInterval = leaseMilliseconds / RENEWALS_PER_LEASE;
  if (observation.cell.holder === instance) {
    return now - input.lastSentAt >= renewalInterval ? 'renew' : 'wait';
  }
  const leaseTimeout =
    observation.cell.holder === ''
      ? 0
      : leaseMilliseconds * (1 + CLOCK_DRIFT_SHARE);
  const claimDelay = leaseTimeout + rank * CLAIM_STAGGER_MILLISECONDS;
  return now - observation.changedAt >= claimDelay ? 'claim' : 'wait';
}
