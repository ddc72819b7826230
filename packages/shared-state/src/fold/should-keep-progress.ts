import type { Configuration } from '../configuration/configuration.js';
import { isTaskInForce } from '../configuration/is-task-in-force.js';
import { isServiceTask } from '../scheduling/task-names.js';

/**
 * Returns whether the progress of a task must be kept.
 *
 * The progress of a minion is never dropped, so that the names of its attempts
 * stay unique. The progress of a withdrawn job can be dropped, because a job
 * that is added again gets another task name.
 */
export function shouldKeepProgress(
  state: { readonly configuration: Configuration },
  task: string,
): boolean {
  return isServiceTask(task) || isTaskInForce(state.configuration, task);
}
