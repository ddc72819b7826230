import { HarmTable } from '../../src/pace/harm-table.js';
import { LoadWatch } from '../../src/pace/load-watch.js';
import { HarmEstimate } from '../../src/plan/harm-estimate.js';
import { planStarts } from '../../src/plan/plan-starts.js';
import type { JobTable } from '../../src/state/job-table.js';

/** Plans a round; returns each task with its minion. */
export function plan(
  table: JobTable,
  now = 0,
  harms = new HarmTable(),
): readonly string[] {
  const estimate = new HarmEstimate(harms, new LoadWatch(), now);
  return planStarts(table, estimate, now).map(
    ({ task, minion }) => `${task.name} on ${minion.incarnation}`,
  );
}
