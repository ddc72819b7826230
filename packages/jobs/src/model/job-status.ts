/** Status of a job that is reported to callers. */
export type JobStatus =
  'queued' | 'running' | 'completed' | 'failed' | 'cancelled';
