import type { ImageStatistics } from '@basilcourse/jobs/interference/image-statistics';
import type { ServingLoad } from '@basilcourse/jobs/interference/serving-load';
import type { StartOrder } from '@basilcourse/jobs/model/start-order';
import type { StopOrder } from '@basilcourse/jobs/model/stop-order';
import type { TaskTraits } from '@basilcourse/jobs/model/task-traits';

/** What the leader sends to an agent, one message a line. */
export type LeaderMessage =
  | {
      readonly kind: 'welcome';
      readonly epoch: number;
      /** To be used in every call to the minion. */
      readonly fencingToken: number;
      readonly leaseMilliseconds: number;
    }
  | {
      readonly kind: 'grant';
      /** `sentAt` of the message from which the lease counts. */
      readonly sentAt: number;
      /** Addresses of the entries that live. */
      readonly entries: readonly string[];
    }
  | {
      readonly kind: 'traits';
      /** Of runs that the agent listed. */
      readonly tasks: readonly KnownTask[];
    }
  | { readonly kind: 'images'; readonly images: ImageStatistics }
  /** Loads of the jobs that serve on the agent's minion. */
  | { readonly kind: 'loads'; readonly loads: readonly ServingLoad[] }
  | {
      readonly kind: 'starts';
      /** The life of the minion that the starts are for. */
      readonly incarnation: string;
      readonly starts: readonly StartOrder[];
    }
  | { readonly kind: 'stops'; readonly stops: readonly StopOrder[] }
  | {
      readonly kind: 'settled';
      readonly incarnation: string;
      /** Ends up to this number are stored. */
      readonly endsThrough: number;
      /** Refusals that were taken in, by task and run. */
      readonly refusals: readonly string[];
    };

interface KnownTask {
  readonly task: string;
  readonly traits: TaskTraits;
}
