import type { Limits } from './limits.js';

/** Limits in force until a release note sets others. */
export const DEFAULT_LIMITS: Limits = {
  latencyWeight: 0.5,
  taskLeaseSeconds: 10,
  storeOutageSeconds: 1800,
  cellLeaseMilliseconds: 2500,
  cellsPerRegion: 1,
  probationShare: 0.2,
  crossRegionBytesPerSecond: 2_000_000,
  claimMemorySeconds: 300,
};
