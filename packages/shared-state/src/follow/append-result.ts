import type { FoldOutcome } from '../fold/fold-outcome.js';

/** Result of an append. */
export type AppendResult =
  | {
      /** Read back from the log and folded. */
      readonly kind: 'applied';
      readonly outcome: FoldOutcome;
    }
  | {
      /** Not read back before the deadline; it may still take effect. */
      readonly kind: 'unknown';
      readonly reason: string;
    }
  | {
      /** Never sent, because too many appends were waiting. */
      readonly kind: 'dropped';
      readonly reason: string;
    };
