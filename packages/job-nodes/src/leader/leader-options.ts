import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import type { StepObserver } from '../metrics/step-observer.js';
import type { JobStore } from '../store/job-store.js';
import type { TimeSource } from '../time/time-source.js';

/** What a leader needs. */
export interface LeaderOptions {
  readonly epoch: number;
  readonly store: JobStore;
  readonly time: TimeSource;
  readonly logger: PartLogger;
  /** Longest lease of an agent's minion. */
  readonly leaseMilliseconds: number;
  /** The own right to lead is not over. */
  readonly isValid: () => boolean;
  readonly onFenced: () => void;
  readonly observe: StepObserver;
  /** Addresses of the entries that live. */
  readonly entries: () => readonly string[];
}
