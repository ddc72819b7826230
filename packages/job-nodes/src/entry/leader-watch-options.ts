import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import type { LeaderRecord } from '../leadership/leader-record.js';
import type { WatchMessage } from './watch-message.js';

/** What a watch needs. */
export interface LeaderWatchOptions {
  readonly logger: PartLogger;
  readonly ownAddress: string;
  readonly ownLife: string;
  readonly leaderRecord: () => LeaderRecord | undefined;
  /** Addresses to ask while the leader is not known or not reached. */
  readonly otherEntries: () => readonly string[];
  readonly onMessage: (message: WatchMessage) => void;
  /** The process that led under this life lives no more. */
  readonly onGone: (life: string) => void;
}
