import { StepError } from '@basilcourse/foundation/errors/step-error';

/** A call was answered by another incarnation of the minion. */
export class WrongMinionError extends StepError {
  public override readonly name = 'WrongMinionError';

  public constructor(step: string, peer: string) {
    super(step, peer, 'another incarnation of the minion answered');
  }
}
