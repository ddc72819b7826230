import type { JobEntry } from '../state/job-entry.js';
import type { TaskEntry } from '../state/task-entry.js';
import type { Urgency } from './urgency.js';

/** A task that was passed over for long, or a gang; its work stands still. */
export interface PassedOver {
  readonly job: JobEntry;
  readonly urgency: Urgency;
  readonly tasks: readonly TaskEntry[];
  /** Unix milliseconds since which it has waited. */
  readonly since: number;
}
