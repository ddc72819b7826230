/** Base class of errors that name the failed step and the peer involved. */
export abstract class StepError extends Error {
  /** The step that failed, in the form `part.action`. */
  public readonly step: string;

  /** The peer's address or identifier; `local` when no peer was involved. */
  public readonly peer: string;

  protected constructor(
    step: string,
    peer: string,
    message: string,
    options?: ErrorOptions,
  ) {
    super(`${step} (peer ${peer}): ${message}`, options);
    this.step = step;
    this.peer = peer;
  }
}
