import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import type { HarmTable } from '@basilcourse/jobs/pace/harm-table';

import type { MinionClient } from './minion-client.js';

/** What a pacer needs. */
export interface PacerOptions {
  readonly client: MinionClient;
  /** What all minions have shown of images' harm. */
  readonly harms: HarmTable;
  readonly logger: PartLogger;
}
