import { jobOf, serviceOf } from '../scheduling/task-names.js';
import type { Configuration } from './configuration.js';

/** Task kind of the service or job of a task; empty when it was withdrawn. */
export function taskKindOf(configuration: Configuration, task: string): string {
  const service = configuration.services.get(serviceOf(task));
  const job = configuration.jobs.get(jobOf(task));
  return service?.taskKind ?? job?.taskKind ?? '';
}
