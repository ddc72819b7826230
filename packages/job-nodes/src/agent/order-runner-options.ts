import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import type { StartOrder } from '@basilcourse/jobs/model/start-order';

import type { TimeSource } from '../time/time-source.js';
import type { MinionClient } from './minion-client.js';
import type { MinionIncarnation } from './minion-incarnation.js';
import type { UnsettledStarts } from './unsettled-starts.js';

/** Dependencies of an `OrderRunner`. */
export interface OrderRunnerOptions {
  readonly client: MinionClient;
  readonly time: TimeSource;
  readonly logger: PartLogger;
  /**
   * Returns the expiry of the lease on the minion's clock; undefined if the minion
   * gets no starts now.
   */
  readonly expiry: () => number | undefined;
  /** Starts that no list of the minion has shown. */
  readonly unsettled: UnsettledStarts;
  /** Whether a clock in an answer is certainly that of the present incarnation. */
  readonly isSameClock: (clock: number) => boolean;
  readonly onRefusal: () => void;
  readonly onStarted: (
    minion: MinionIncarnation,
    order: StartOrder,
    fencingToken: number,
  ) => void;
}
