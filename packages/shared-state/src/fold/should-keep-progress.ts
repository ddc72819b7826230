import type { Configuration } from '../configuration/configuration.js';
import { isTaskInForce } from '../configuration/is-task-in-force.js';
import { isServiceTask } from '../scheduling/task-names.js';

/**
 * Tells whether the progress of a task must be kept.
 *
 * That of a minion is kept for ever, so that the names of its attempts stay
 * unique. That of a withdrawn job can be dropped, as a job that is added again
 * gets another task name.
 */
export function shouldKeepProgress(
  state: { readonly configuration: Configuration },
  task: string,
): boolean {
  return isServiceTask(task) || isTaskInForce(state.configuration, task);
}
