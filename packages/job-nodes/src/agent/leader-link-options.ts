import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import type { LeaderMessage } from '../lines/leader-message.js';
import type { TimeSource } from '../time/time-source.js';

/** What a link needs. */
export interface LeaderLinkOptions {
  readonly agent: string;
  readonly time: TimeSource;
  readonly logger: PartLogger;
  readonly knownEntries: () => readonly string[];
  /** Asks the store who leads, for when no known entry answers. */
  readonly findLeader: () => Promise<string | undefined>;
  readonly onMessage: (message: LeaderMessage) => void;
}
