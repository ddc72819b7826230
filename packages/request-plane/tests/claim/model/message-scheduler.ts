/** What becomes of one message between two processes. */
export type MessageFate = 'delivered' | 'lost' | 'answer-lost';

/** How the world's chance is decided. */
export interface MessageScheduler {
  /** Lets other work go first. */
  readonly yieldControl: () => Promise<unknown>;
  readonly nextFate: () => MessageFate;
}
