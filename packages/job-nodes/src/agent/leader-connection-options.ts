import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import type { LeaderMessage } from '../lines/leader-message.js';
import type { TimeSource } from '../time/time-source.js';

/** Dependencies of a `LeaderConnection`. */
export interface LeaderConnectionOptions {
  readonly agent: string;
  readonly time: TimeSource;
  readonly logger: PartLogger;
  readonly configuredEntries: () => readonly string[];
  /** Reads the leader's address from the store; used if no entry answers. */
  readonly findLeader: () => Promise<string | undefined>;
  readonly onMessage: (message: LeaderMessage) => void;
}
