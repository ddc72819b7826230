/** Load of a job that serves, as the leader knows it. */
export interface ServingLoad {
  readonly job: string;
  /** Tail of a task that never waits, in milliseconds. */
  readonly floor: number;
  /** Share of the time in which a task without neighbours is busy. */
  readonly load: number;
}
