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
  /** Processor time that this process can use, in cores. */
  readonly ownCores: number;
  /** Returns the most that another known entry can use, in cores. */
  readonly mostCores: () => number;
  readonly onAcquired: (epoch: number) => void;
  readonly onLost: (reason: string) => void;
  readonly onLeaderChange: (record: LeaderRecord) => void;
}
