import { StepError } from '@basilcourse/foundation/errors/step-error';

/** Another life of the minion answered than the one that was meant. */
export class WrongMinionError extends StepError {
  public override readonly name = 'WrongMinionError';

  public constructor(step: string, peer: string) {
    super(step, peer, 'another life of the minion answered');
  }
}
