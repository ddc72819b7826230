import { StepError } from '@basilcourse/foundation/errors/step-error';

/**
 * Thrown when the store refuses the content of an append. Nothing of it is
 * stored, and to repeat it would change nothing.
 */
export class AppendRefusedError extends StepError {
  public override readonly name = 'AppendRefusedError';

  public constructor(step: string, peer: string, reason: string) {
    super(step, peer, reason);
  }
}
