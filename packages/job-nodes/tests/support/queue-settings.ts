/** Settings of the queue of all jobs. */
export const QUEUE_SETTINGS = {
  name: 'queue',
  service: 'service',
  priority: 0,
  maximumAttempts: 1000,
  slackFactor: 2,
  targetLatencyMilliseconds: 500,
};
