import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import type { MinionLimits } from '@basilcourse/jobs/model/minion-limits';

import type { TimeSource } from '../time/time-source.js';
import type { MinionClient } from './minion-client.js';

/** Dependencies of an `AgentProcess`, which the platform supplies. */
export interface AgentOptions {
  readonly name: string;
  readonly client: MinionClient;
  readonly minionLimits: MinionLimits;
  readonly time: TimeSource;
  readonly logger: (part: string) => PartLogger;
  readonly configuredEntries: () => readonly string[];
  readonly findLeader: () => Promise<string | undefined>;
}
