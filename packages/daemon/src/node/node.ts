import type { NodeCore } from './node-core.js';

/** A basilcourse process, or a node embedded in another process. */
export interface Node {
  readonly core: NodeCore;
  readonly start: () => Promise<void>;
  /** Finishes the work in progress, then stops. */
  readonly stop: () => Promise<void>;
  /** Stops at once, without draining and without releasing its leases. */
  readonly kill: () => Promise<void>;
}
