/** What becomes of one message between two processes. */
export type MessageFate = 'delivered' | 'lost' | 'answer-lost';

/** Decides the order and the losses of messages in a simulation. */
export interface MessageScheduler {
  /** Resolves after other scheduled work may have run. */
  readonly yieldControl: () => Promise<unknown>;
  readonly nextFate: () => MessageFate;
}
