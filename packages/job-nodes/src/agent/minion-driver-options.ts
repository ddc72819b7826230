import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import type { MinionLimits } from '@basilcourse/jobs/model/minion-limits';

import type { TimeSource } from '../time/time-source.js';
import type { ImageMemory } from './image-memory.js';
import type { MinionClient } from './minion-client.js';

/** Dependencies of a `MinionDriver`. */
export interface MinionDriverOptions {
  readonly client: MinionClient;
  readonly imageStatistics: ImageMemory;
  readonly time: TimeSource;
  readonly logger: PartLogger;
  readonly minionLimits: MinionLimits;
  /** Called when the minion rejects the fencing token of the current stream. */
  readonly onFenced: () => void;
  /** Called when the next incarnation can be called under a later token only. */
  readonly onTokenNeeded: () => void;
  readonly report: (report: AgentReport) => void;
}
