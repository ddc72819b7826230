import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import type { StartOrder } from '@basilcourse/jobs/model/start-order';

import type { TimeSource } from '../time/time-source.js';
import type { MinionClient } from './minion-client.js';
import type { MinionLife } from './minion-life.js';

/** What a runner of orders needs. */
export interface OrderRunnerOptions {
  readonly client: MinionClient;
  readonly time: TimeSource;
  readonly logger: PartLogger;
  /** End of the lease on the minion's clock. */
  readonly expiry: () => number | undefined;
  readonly onRefusal: () => void;
  readonly onStarted: (
    life: MinionLife,
    order: StartOrder,
    fencingToken: number,
  ) => void;
}
