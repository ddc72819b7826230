import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import type { InterferenceTable } from '@basilcourse/jobs/interference/interference-table';

import type { MinionClient } from './minion-client.js';

/** Dependencies of a `Throttler`. */
export interface ThrottlerOptions {
  readonly client: MinionClient;
  /** Interference between images, estimated from all minions. */
  readonly interference: InterferenceTable;
  readonly logger: PartLogger;
}
