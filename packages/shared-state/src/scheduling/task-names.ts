const SERVICE_PREFIX = 'service/';

const JOB_PREFIX = 'job/';

/** Name of the task that runs one minion of a service. */
export function serviceTask(service: string, minion: number): string {
  return `${SERVICE_PREFIX}${service}/${minion}`;
}

/**
 * Name of the task of a batch job.
 *
 * @param since - Revision that added the job; a job that is withdrawn and added
 * again is a different task.
 */
export function jobTask(job: string, since: number): string {
  return `${JOB_PREFIX}${job}@${since}`;
}

/** Name of an attempt. */
export function attemptName(task: string, number: number): string {
  return `${task}#${number}`;
}

/** Returns whether a task is a minion of a service. */
export function isServiceTask(task: string): boolean {
  return task.startsWith(SERVICE_PREFIX);
}

/** Service or job of a task, such as `service/labels` or `job/a@1`. */
export function ownerOf(task: string): string {
  return isServiceTask(task) ? task.slice(0, task.lastIndexOf('/')) : task;
}

/** Name of the service of a task; empty for the task of a job. */
export function serviceOf(task: string): string {
  return isServiceTask(task) ? ownerOf(task).slice(SERVICE_PREFIX.length) : '';
}

/** Name of the job of a task; empty for a minion of a service. */
export function jobOf(task: string): string {
  return isServiceTask(task)
    ? ''
    : task.slice(JOB_PREFIX.length, task.lastIndexOf('@'));
}
