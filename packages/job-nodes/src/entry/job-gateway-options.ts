import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import type { Leader } from '../leader/leader.js';
import type { LeaderRecord } from '../leadership/leader-record.js';
import type { TimeSource } from '../time/time-source.js';

/** What a gateway needs. */
export interface JobGatewayOptions {
  readonly time: TimeSource;
  readonly logger: PartLogger;
  /** The leader in this process, if it leads. */
  readonly localLeader: () => Leader | undefined;
  readonly leaderRecord: () => LeaderRecord | undefined;
}
