import { InterferenceTable } from '../../src/interference/interference-table.js';
import { LoadMonitor } from '../../src/interference/load-monitor.js';
import { InterferencePredictor } from '../../src/plan/interference-predictor.js';
import { planStarts } from '../../src/plan/plan-starts.js';
import type { JobTable } from '../../src/state/job-table.js';

/** Plans a round of starts; returns each task with its minion. */
export function plan(
  table: JobTable,
  now = 0,
  interference = new InterferenceTable(),
): readonly string[] {
  const predictor = new InterferencePredictor(
    interference,
    new LoadMonitor(),
    now,
  );
  return planStarts(table, predictor, now).map(
    ({ task, minion }) => `${task.name} on ${minion.incarnation}`,
  );
}
