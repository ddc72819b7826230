import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import type { ImageMemory } from './image-memory.js';
import type { MinionClient } from './minion-client.js';

/** Dependencies of a `Throttler`. */
export interface ThrottlerOptions {
  readonly client: MinionClient;
  /** What the leader has estimated from all minions. */
  readonly estimates: ImageMemory;
  readonly logger: PartLogger;
}
