import type { NodeCore } from './node-core.js';

/** One running basilcourse process, or one embedded in another. */
export interface Node {
  readonly core: NodeCore;
  readonly start: () => Promise<void>;
  /** Finishes the work in progress, then stops. */
  readonly stop: () => Promise<void>;
  /** Stops at once without a handover, as if the process were killed. */
  readonly kill: () => Promise<void>;
}
