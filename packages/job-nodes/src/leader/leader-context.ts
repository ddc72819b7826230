import type { LeaderOptions } from './leader-options.js';
import type { LeaderState } from './leader-state.js';
import type { StoreWriter } from './store-writer.js';

/** What the parts of a leader share. */
export interface LeaderContext {
  readonly options: LeaderOptions;
  readonly state: LeaderState;
  readonly writer: StoreWriter;
  /** This process may decide, and knows the state. */
  readonly isReady: () => boolean;
}
