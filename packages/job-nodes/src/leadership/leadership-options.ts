import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import type { LeadershipLog } from '../store/leadership-log.js';
import type { TimeSource } from '../time/time-source.js';
import type { LeaderRecord } from './leader-record.js';

/** Identity of this process, its dependencies, and leadership callbacks. */
export interface LeadershipOptions {
  readonly name: string;
  readonly incarnation: string;
  readonly address: string;
  readonly log: LeadershipLog;
  readonly time: TimeSource;
  readonly logger: PartLogger;
  readonly onAcquired: (epoch: number) => void;
  readonly onLost: (reason: string) => void;
  readonly onLeaderChange: (record: LeaderRecord) => void;
}
