/** Faults that a worker stand-in injects; set at run time by `POST /faults`. */
export interface WorkerFaults {
  /** All commands fail as unreachable, but the tasks continue to run. */
  readonly unreachable: boolean;
  /** Every task fails immediately after its start. */
  readonly failEveryStart: boolean;
  /** Share of commands that take effect, but whose response is lost. */
  readonly lostAnswerShare: number;
  /** Minimum age of the usage samples in a report. */
  readonly reportLagMilliseconds: number;
}

/** Settings of a worker without injected faults. */
export const HEALTHY_WORKER: WorkerFaults = {
  unreachable: false,
  failEveryStart: false,
  lostAnswerShare: 0,
  reportLagMilliseconds: 10_000,
};
