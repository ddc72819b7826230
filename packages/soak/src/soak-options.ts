/** Size and course of a soak. */
export interface SoakOptions {
  /** Determines jobs and troubles; times differ from run to run. */
  readonly seed: number;
  /** Seconds for which troubles come. */
  readonly seconds: number;
  readonly entries: number;
  readonly agents: number;
  /** Troubles are those whose names contain this; all if it is empty. */
  readonly troubles?: string;
  /** Directory for settings, logs, the trace and the report. */
  readonly directory: string;
}
