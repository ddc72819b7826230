import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import type { Leader } from '../leader/leader.js';
import type { LeaderRecord } from '../leadership/leader-record.js';
import type { TimeSource } from '../time/time-source.js';

/** Dependencies of a `JobGateway`. */
export interface JobGatewayOptions {
  readonly time: TimeSource;
  readonly logger: PartLogger;
  /** Returns the leader in this process, if this entry is the leader. */
  readonly localLeader: () => Leader | undefined;
  readonly leaderRecord: () => LeaderRecord | undefined;
}
