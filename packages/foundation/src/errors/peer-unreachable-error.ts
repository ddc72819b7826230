import { StepError } from './step-error.js';

/** Thrown when a peer cannot be reached or its response does not arrive. */
export class PeerUnreachableError extends StepError {
  public override readonly name = 'PeerUnreachableError';

  public constructor(step: string, peer: string, cause: unknown) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    super(step, peer, reason, { cause });
  }
}
