/**
 * How a run ended.
 *
 * - `broken`: another member of the gang ended
 * - `alone`: the other members of the gang did not come in time
 * - `lapsed`: the lease ended before it was renewed
 */
export type EndReason =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';
