import type { JobLoadSnapshot } from './job-load-snapshot.js';

/** Measured loads of all serving jobs, and the period of their swings. */
export interface LoadSnapshot {
  /** Milliseconds; absent while no period is known. */
  readonly period?: number;
  readonly jobs: readonly JobLoadSnapshot[];
}
