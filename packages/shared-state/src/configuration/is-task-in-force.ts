import {
  isServiceTask,
  jobOf,
  jobTask,
  serviceOf,
} from '../scheduling/task-names.js';
import type { Configuration } from './configuration.js';

/** Returns whether the service or job of a task is in force. */
export function isTaskInForce(
  configuration: Configuration,
  task: string,
): boolean {
  if (isServiceTask(task)) {
    return configuration.services.has(serviceOf(task));
  }
  const job = jobOf(task);
  const since = configuration.jobsSince.get(job);
  return since !== undefined && jobTask(job, since) === task;
}
