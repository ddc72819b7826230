import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import type { JobStore } from '../store/job-store.js';
import type { StoredValue } from '../store/stored-value.js';
import type { TimeSource } from '../time/time-source.js';

/** Dependencies and callbacks of a store writer. */
export interface StoreWriterOptions {
  readonly store: JobStore;
  readonly epoch: number;
  readonly time: TimeSource;
  readonly logger: PartLogger;
  /** Returns the values that have changed since the last call. */
  readonly collect: () => readonly StoredValue[];
  /** Called when a leader with a higher epoch has fenced this writer. */
  readonly onFenced: () => void;
}
