import { StepError } from './step-error.js';

/** Thrown when a peer responds with an HTTP status that is not a success. */
export class PeerRefusedError extends StepError {
  public override readonly name = 'PeerRefusedError';

  /** HTTP status of the response. */
  public readonly status: number;

  public constructor(
    step: string,
    peer: string,
    status: number,
    reason: string,
  ) {
    super(step, peer, `status ${status}: ${reason}`);
    this.status = status;
  }
}
