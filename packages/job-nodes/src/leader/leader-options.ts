import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import type { MinionLimits } from '@basilcourse/jobs/model/minion-limits';

import type { StepObserver } from '../metrics/step-observer.js';
import type { JobStore } from '../store/job-store.js';
import type { StoreLimits } from '../store/store-limits.js';
import type { TimeSource } from '../time/time-source.js';

/** Epoch, dependencies and callbacks of a leader. */
export interface LeaderOptions {
  readonly epoch: number;
  readonly store: JobStore;
  readonly storeLimits: StoreLimits;
  readonly time: TimeSource;
  readonly logger: PartLogger;
  /** Maximum duration of the lease of an agent's minion. */
  readonly leaseMilliseconds: number;
  readonly minionLimits: MinionLimits;
  /** Returns whether this process's leadership lease is still valid. */
  readonly isValid: () => boolean;
  readonly onFenced: () => void;
  /** Processor time that this process can use, in cores. */
  readonly processorCores: number;
  readonly observe: StepObserver;
  /** Returns the addresses of the running entries. */
  readonly entries: () => readonly string[];
}
