/** Properties of a task by which agents throttle it and its neighbours. */
export interface TaskTraits {
  /** Image that the task runs; tasks of one image behave alike. */
  readonly image: string;
  /** Bound of the tail latency; 0 for tasks that are not serving. */
  readonly tailTargetMilliseconds: number;
  /** A batch task, which uses the processor time that other tasks leave. */
  readonly filling: boolean;
  readonly processorMillicores: number;
}
