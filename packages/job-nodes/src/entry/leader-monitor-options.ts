import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import type { LeaderRecord } from '../leadership/leader-record.js';
import type { WatchMessage } from './watch-message.js';

/** Dependencies of a `LeaderMonitor`. */
export interface LeaderMonitorOptions {
  readonly logger: PartLogger;
  readonly ownAddress: string;
  readonly ownIncarnation: string;
  /** Processor time that this process can use, in cores. */
  readonly ownCores: number;
  readonly leaderRecord: () => LeaderRecord | undefined;
  /** Returns the entries to query for the leader once a watch has ended. */
  readonly otherEntries: () => readonly string[];
  readonly onMessage: (message: WatchMessage) => void;
  /** Called when the leader's process of this incarnation has ended. */
  readonly onDeparted: (incarnation: string) => void;
}
