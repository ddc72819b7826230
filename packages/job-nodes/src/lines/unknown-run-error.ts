/** A report on a stream names a run that the stream has not listed. */
export class UnknownRunError extends Error {
  public readonly step = 'report.decode';

  /** The agent that sent the report. */
  public readonly peer: string;

  public constructor(peer: string, runNumber: number) {
    super(`report.decode: ${peer} has not listed the run number ${runNumber}`);
    this.name = 'UnknownRunError';
    this.peer = peer;
  }
}
