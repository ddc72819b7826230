import type { LeaseRenewal } from './lease-renewal.js';

/** Renews leases and asks for a report in one call. */
export interface SyncCommand {
  readonly renewals: readonly LeaseRenewal[];
  /** Ended attempts that the worker may drop from its reports. */
  readonly acknowledged: readonly string[];
}
