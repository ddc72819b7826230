import { StepError } from '@basilcourse/foundation/errors/step-error';

/** Thrown when a simulation run violates an invariant. */
export class InvariantBrokenError extends StepError {
  public override readonly name = 'InvariantBrokenError';

  public constructor(
    invariant: string,
    reason: string,
    public readonly timeline: readonly string[],
  ) {
    super(`invariant.${invariant}`, 'run', reason);
  }
}
