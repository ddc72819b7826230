import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import type { AgentReport } from '@basilcourse/jobs/model/agent-report';

import type { TimeSource } from '../time/time-source.js';
import type { ImageMemory } from './image-memory.js';
import type { MinionClient } from './minion-client.js';

/** What a driver needs. */
export interface MinionDriverOptions {
  readonly client: MinionClient;
  readonly images: ImageMemory;
  readonly time: TimeSource;
  readonly logger: PartLogger;
  /** The minion obeys the token of the present stream no more. */
  readonly onFenced: () => void;
  readonly report: (report: AgentReport) => void;
}
