import type { StartOrder } from '@basilcourse/jobs/model/start-order';
import type { StopOrder } from '@basilcourse/jobs/model/stop-order';

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
  | { readonly kind: 'starts'; readonly starts: readonly StartOrder[] }
  | { readonly kind: 'stops'; readonly stops: readonly StopOrder[] }
  | {
      readonly kind: 'settled';
      readonly incarnation: string;
      /** Ends up to this number are stored. */
      readonly endsThrough: number;
      /** Refusals that were taken in, by task and run. */
      readonly refusals: readonly string[];
    };
