/** Configuration of a queue. */
export interface QueueSettings {
  readonly name: string;
  /** Service whose minions run the queue's tasks. */
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Number of failed runs of a task after which its job fails. */
  readonly maximumAttempts: number;
  /** Time objective of a job, as a multiple of its longest chain of steps. */
  readonly slackFactor: number;
  /** Added to the time objective of each job. */
  readonly targetLatencyMilliseconds: number;
}
