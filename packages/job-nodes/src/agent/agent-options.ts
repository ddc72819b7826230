import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import type { TimeSource } from '../time/time-source.js';
import type { MinionClient } from './minion-client.js';

/** What an agent needs from where it runs. */
export interface AgentOptions {
  readonly name: string;
  readonly client: MinionClient;
  readonly time: TimeSource;
  readonly logger: (part: string) => PartLogger;
  readonly knownEntries: () => readonly string[];
  readonly findLeader: () => Promise<string | undefined>;
}
