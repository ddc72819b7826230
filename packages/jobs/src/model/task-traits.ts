/** What an agent has to know of a task to pace it and its neighbours. */
export interface TaskTraits {
  /** What the task runs; tasks of one image behave alike. */
  readonly image: string;
  /** Bound of the tail latency; 0 for tasks that serve nobody. */
  readonly tailTargetMilliseconds: number;
  /** The task uses the processor time that others leave. */
  readonly filling: boolean;
  readonly processorMillicores: number;
}
