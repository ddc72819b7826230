import type { JobEntry } from '../state/job-entry.js';
import type { TaskEntry } from '../state/task-entry.js';
import type { Urgency } from './urgency.js';

/** A job with tasks that may start now, by step. */
export interface WaitingJob {
  readonly job: JobEntry;
  readonly steps: readonly (readonly TaskEntry[])[];
  readonly urgency: Urgency;
}
