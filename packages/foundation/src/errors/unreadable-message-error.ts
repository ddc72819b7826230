import { StepError } from './step-error.js';

/** Thrown when a peer's message can't be read. */
export class UnreadableMessageError extends StepError {
  public override readonly name = 'UnreadableMessageError';

  public constructor(step: string, peer: string, reason: string) {
    super(step, peer, reason);
  }
}
