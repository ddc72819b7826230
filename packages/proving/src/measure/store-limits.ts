import type { StoreLimits } from '@basilcourse/job-nodes/store/store-limits';

/** Limits of the store that the measurements assume. */
export const STORE_LIMITS: StoreLimits = {
  recordBytes: 262_139,
  appendBytes: 262_148,
  overheadBytes: 5,
};
