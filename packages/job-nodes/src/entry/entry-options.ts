import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import type { StepObserver } from '../metrics/step-observer.js';
import type { JobStore } from '../store/job-store.js';
import type { LeadershipLog } from '../store/leadership-log.js';
import type { TimeSource } from '../time/time-source.js';

/** What an entry needs from where it runs. */
export interface EntryOptions {
  readonly name: string;
  /** Address for other processes of the system. */
  readonly internalAddress: string;
  readonly store: JobStore;
  readonly leadershipLog: LeadershipLog;
  readonly time: TimeSource;
  readonly logger: (part: string) => PartLogger;
  readonly observe: StepObserver;
  readonly leaseMilliseconds: number;
  /** Addresses of entries that the settings name. */
  readonly knownEntries: () => readonly string[];
}
