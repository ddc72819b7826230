import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import type { LeadershipLog } from '../store/leadership-log.js';
import type { TimeSource } from '../time/time-source.js';
import type { LeaderRecord } from './leader-record.js';

/** Who this process is, and what happens as the lead changes. */
export interface LeadershipOptions {
  readonly name: string;
  readonly life: string;
  readonly address: string;
  readonly log: LeadershipLog;
  readonly time: TimeSource;
  readonly logger: PartLogger;
  readonly onWon: (epoch: number) => void;
  readonly onLost: (reason: string) => void;
  readonly onLeader: (record: LeaderRecord) => void;
}
