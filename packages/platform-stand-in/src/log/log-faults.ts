/** Faults that the log stand-in injects; set at run time by `POST /faults`. */
export interface LogFaults {
  /** Reads and appends are rejected with status 503. */
  readonly down: boolean;
  /** Delay before each request is processed. */
  readonly delayMilliseconds: number;
  /** Share of appends that are stored but fail, as if the response was lost. */
  readonly lostAnswerShare: number;
  /** Share of appends that fail before the record is stored. */
  readonly refusedShare: number;
  /** Maximum number of records retained; the oldest are discarded first. */
  readonly keptRecords: number;
  /** Maximum number of appends accepted in one second. */
  readonly appendsPerSecond: number;
}

/** Settings of a log without injected faults. */
export const HEALTHY_LOG: LogFaults = {
  down: false,
  delayMilliseconds: 0,
  lostAnswerShare: 0,
  refusedShare: 0,
  keptRecords: 1_000_000,
  appendsPerSecond: 500,
};
