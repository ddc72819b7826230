import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import type { MinionClient } from './minion-client.js';

/** What a pacer needs. */
export interface PacerOptions {
  readonly client: MinionClient;
  readonly logger: PartLogger;
}
