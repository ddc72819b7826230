import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import type { MinionLimits } from '@basilcourse/jobs/model/minion-limits';

import type { StepObserver } from '../metrics/step-observer.js';
import type { JobStore } from '../store/job-store.js';
import type { LeadershipLog } from '../store/leadership-log.js';
import type { StoreLimits } from '../store/store-limits.js';
import type { TimeSource } from '../time/time-source.js';

/** Dependencies of an `EntryProcess`, which the platform supplies. */
export interface EntryOptions {
  readonly name: string;
  /** Address for other processes of the system. */
  readonly internalAddress: string;
  readonly store: JobStore;
  readonly storeLimits: StoreLimits;
  readonly leadershipLog: LeadershipLog;
  readonly time: TimeSource;
  readonly logger: (part: string) => PartLogger;
  readonly observe: StepObserver;
  readonly leaseMilliseconds: number;
  readonly minionLimits: MinionLimits;
  /** Processor time that this process can use, in cores. */
  readonly ownCores: number;
  /** Returns the addresses of the entries named in the settings. */
  readonly configuredEntries: () => readonly string[];
}
