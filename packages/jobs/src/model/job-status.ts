/** What callers are told of a job. */
export type JobStatus =
  'queued' | 'running' | 'completed' | 'failed' | 'cancelled';
