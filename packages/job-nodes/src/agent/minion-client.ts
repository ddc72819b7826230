import type { StartOrder } from '@basilcourse/jobs/model/start-order';
import type { StopOrder } from '@basilcourse/jobs/model/stop-order';

import type { MinionIncarnation } from './minion-incarnation.js';
import type { PollResult } from './poll-result.js';
import type { StartResult } from './start-result.js';

/** Calls of an agent to its minion; a call without an answer rejects. */
export interface MinionClient {
  readonly start: (
    minion: MinionIncarnation,
    order: StartOrder,
    expiresAt: number,
    fencingToken: number,
  ) => Promise<StartResult>;
  readonly stop: (
    minion: MinionIncarnation,
    order: StopOrder,
    fencingToken: number,
  ) => Promise<void>;
  readonly poll: (minion: MinionIncarnation, poll: Poll) => Promise<PollResult>;
  readonly throttle: (
    minion: MinionIncarnation,
    order: StopOrder,
    percentage: number,
    fencingToken: number,
  ) => Promise<void>;
}

/** Renews the lease, and reads the running tasks and ended runs. */
interface Poll {
  readonly fencingToken: number;
  /** Expiry of the lease on the minion's clock; undefined leaves it as it is. */
  readonly expiresAt: number | undefined;
  /** The leader has stored ends up to this number; the minion can drop them. */
  readonly endsThrough: number;
  /** Maximum time for which the answer waits for the end of a run. */
  readonly waitMilliseconds: number;
}
