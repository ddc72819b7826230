/** What the configuration says of a queue. */
export interface QueueSettings {
  readonly name: string;
  /** Service whose minions run the queue's tasks. */
  readonly service: string;
  /** 0 comes first. */
  readonly priority: number;
  /** Runs of a task that may end as failed. */
  readonly maximumAttempts: number;
  /** A job is on time within this many times its longest chain. */
  readonly slackFactor: number;
  /** Added to the objective of every job. */
  readonly targetLatencyMilliseconds: number;
}
