import type { RunEnd } from '@basilcourse/jobs/model/run-end';
import type { RunningTask } from '@basilcourse/jobs/model/running-task';
import type { StartOrder } from '@basilcourse/jobs/model/start-order';
import type { StopOrder } from '@basilcourse/jobs/model/stop-order';

import type { MinionLife } from './minion-life.js';

/** How an agent calls its minion. Calls without an answer throw. */
export interface MinionClient {
  readonly start: (
    life: MinionLife,
    order: StartOrder,
    expiresAt: number,
    fencingToken: number,
  ) => Promise<StartResult>;
  readonly stop: (
    life: MinionLife,
    order: StopOrder,
    fencingToken: number,
  ) => Promise<void>;
  readonly look: (life: MinionLife, look: Look) => Promise<LookResult>;
  readonly pace: (
    life: MinionLife,
    order: StopOrder,
    percentage: number,
    fencingToken: number,
  ) => Promise<void>;
}

type StartResult =
  | { readonly kind: 'started' }
  | { readonly kind: 'refused'; readonly reason: string };

/** A call that renews the lease and asks for the lists. */
interface Look {
  readonly fencingToken: number;
  /** End of the lease on the minion's clock; absent to leave it. */
  readonly expiresAt: number | undefined;
  readonly endsThrough: number;
  /** The answer waits so long for an end. */
  readonly waitMilliseconds: number;
}

interface LookResult {
  /** The minion's clock as it answered. */
  readonly clock: number;
  readonly running: readonly RunningTask[];
  readonly ends: readonly RunEnd[];
}
