import type { ImageStatistics } from '@basilcourse/jobs/interference/image-statistics';
import type { ServingLoad } from '@basilcourse/jobs/interference/serving-load';
import type { StartOrder } from '@basilcourse/jobs/model/start-order';
import type { StopOrder } from '@basilcourse/jobs/model/stop-order';
import type { TaskTraits } from '@basilcourse/jobs/model/task-traits';

/** Message from the leader to an agent, sent as one line of JSON. */
export type LeaderMessage =
  | {
      readonly kind: 'welcome';
      readonly epoch: number;
      /** The agent passes it in every call to the minion. */
      readonly fencingToken: number;
      readonly leaseMilliseconds: number;
      /** The leader reads reports of the kind `delta`; absent if it does not. */
      readonly readsDeltas?: boolean;
    }
  | {
      readonly kind: 'grant';
      /** `sentAt` of the agent's message, from which the lease counts. */
      readonly sentAt: number;
      /**
       * Addresses of the running entries. An agent that reads compact messages
       * gets them only when they change.
       */
      readonly entries?: readonly string[];
    }
  | {
      /** Keeps the stream open without renewing a lease. */
      readonly kind: 'entries';
      readonly entries?: readonly string[];
    }
  | {
      readonly kind: 'traits';
      /** Traits of the runs that the agent reported. */
      readonly tasks: readonly TaskWithTraits[];
    }
  | { readonly kind: 'images'; readonly images: ImageStatistics }
  /** Loads of the latency-critical jobs on the agent's minion. */
  | { readonly kind: 'loads'; readonly loads: readonly ServingLoad[] }
  | {
      readonly kind: 'starts';
      /** The minion incarnation that the starts are for. */
      readonly incarnation: string;
      readonly starts: readonly StartOrder[];
    }
  | { readonly kind: 'stops'; readonly stops: readonly StopOrder[] }
  | {
      readonly kind: 'settled';
      readonly incarnation: string;
      /** Ends up to this number are stored. */
      readonly endsThrough: number;
      /** Refusals that are stored, as `task/run`. */
      readonly refusals: readonly string[];
    };

interface TaskWithTraits {
  readonly task: string;
  readonly traits: TaskTraits;
}
