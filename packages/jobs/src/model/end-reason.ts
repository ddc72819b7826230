/**
 * How a run ended.
 *
 * - `stopped`: the scheduler stopped the run
 * - `broken`: another member of the gang ended
 * - `alone`: the other members of the gang did not start in time
 * - `lapsed`: the lease expired before it was renewed
 */
export type EndReason =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';
