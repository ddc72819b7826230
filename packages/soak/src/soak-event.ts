import type { CallResult } from '@basilcourse/platform-stand-in/caller/job-caller';
import type { JobRequest } from '@basilcourse/platform-stand-in/caller/job-request';
import type { MinionEvent } from '@basilcourse/platform-stand-in/minion/minion-event';

/** What callers, minions and processes of a soak see, and what is done to them. */
export type SoakEvent =
  | { readonly kind: 'submitted'; readonly job: JobRequest }
  | {
      readonly kind: 'answered';
      readonly call: 'submit' | 'cancel';
      readonly identifier: string;
      readonly result: CallResult;
    }
  | {
      readonly kind: 'shown';
      readonly identifier: string;
      readonly state: string;
    }
  | { readonly kind: 'run'; readonly event: MinionEvent }
  | {
      readonly kind: 'trouble';
      readonly name: string;
      readonly target: string;
      readonly milliseconds: number;
    }
  | {
      readonly kind: 'process';
      readonly name: string;
      readonly change: 'started' | 'ended';
    };
