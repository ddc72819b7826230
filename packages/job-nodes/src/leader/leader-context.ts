import type { LeaseBounds } from '@basilcourse/jobs/reconcile/lease-bounds';

import type { LeaderOptions } from './leader-options.js';
import type { LeaderState } from './leader-state.js';
import type { StoreWriter } from './store-writer.js';

/** Options and state that the components of a leader share. */
export interface LeaderContext {
  readonly options: LeaderOptions;
  readonly state: LeaderState;
  readonly writer: StoreWriter;
  readonly bounds: LeaseBounds;
  /** The state is loaded, and this process still is the leader. */
  readonly isReady: () => boolean;
}
