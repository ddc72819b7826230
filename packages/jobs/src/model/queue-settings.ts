/** Configuration of a queue. */
export interface QueueSettings {
  readonly name: string;
  /** Service whose minions run the queue's tasks. */
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Runs of a task that may end as failed. */
  readonly maximumAttempts: number;
  /** Objective of a job, as a multiple of its longest chain of steps. */
  readonly slackFactor: number;
  /** Added to the objective of each job. */
  readonly targetLatencyMilliseconds: number;
}
