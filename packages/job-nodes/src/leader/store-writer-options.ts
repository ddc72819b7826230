import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import type { JobStore } from '../store/job-store.js';
import type { StoreLimits } from '../store/store-limits.js';
import type { StoredValue } from '../store/stored-value.js';
import type { TimeSource } from '../time/time-source.js';

/** Dependencies and callbacks of a store writer. */
export interface StoreWriterOptions {
  readonly store: JobStore;
  readonly limits: StoreLimits;
  readonly epoch: number;
  readonly time: TimeSource;
  readonly logger: PartLogger;
  /**
   * Returns the values that have changed since the last call. They may be stored
   * in several appends, in their order.
   */
  readonly collect: () => readonly StoredValue[];
  /** Called when a value can't be stored, before the actions that wait. */
  readonly onUnstorable: (key: string) => void;
  /** Called when a leader with a higher epoch has fenced this writer. */
  readonly onFenced: () => void;
}
