/**
 * Kinds of faults that a scenario injects.
 *
 * A `cut-` fault makes a peer unreachable until the `heal-` fault; a `lose-`
 * fault lets calls take effect but drops their responses; `break-worker` makes
 * every task of a worker fail at its start.
 */
export type FaultKind =
  | 'kill-worker'
  | 'replace-worker'
  | 'cut-worker'
  | 'heal-worker'
  | 'lose-worker-answers'
  | 'break-worker'
  | 'kill-process'
  | 'add-process'
  | 'pause-process'
  | 'resume-process'
  | 'cut-process-from-log'
  | 'heal-process'
  | 'cut-process-from-workers'
  | 'log-down'
  | 'log-up'
  | 'lose-log-answers'
  | 'cancel-jobs'
  | 'add-urgent-job'
  | 'conflicting-notes'
  | 'drain-worker'
  | 'restore-worker';

/** One fault at a given time of a scenario. */
export interface Fault {
  /** Seconds after the start of the run. */
  readonly at: number;
  readonly kind: FaultKind;
  /** Selects the affected worker or process, modulo their number. */
  readonly target: number;
}
