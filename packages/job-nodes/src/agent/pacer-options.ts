import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import type { InterferenceTable } from '@basilcourse/jobs/interference/interference-table';

import type { MinionClient } from './minion-client.js';

/** What a pacer needs. */
export interface PacerOptions {
  readonly client: MinionClient;
  /** What all minions have shown of images' harm. */
  readonly harms: InterferenceTable;
  readonly logger: PartLogger;
}
