import { StepError } from '@basilcourse/foundation/errors/step-error';

/** The minion has accepted a higher fencing token and rejects this one. */
export class FencedError extends StepError {
  public override readonly name = 'FencedError';

  public constructor(step: string, peer: string) {
    super(step, peer, 'a higher fencing token was seen');
  }
}
