import type { WorkerDescription } from '@basilcourse/shared-state/records/worker-description';
import { cellOfWorker } from '@basilcourse/shared-state/scheduling/cell-names';

import type { PlanPass } from './plan-pass.js';

function isSame(left: WorkerDescription, right: WorkerDescription): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}

/** Records announced workers that are new or whose description has changed. */
export function joinWorkers(pass: PlanPass): void {
  const { announced, scheduling, configuration, cell } = pass.input;
  const { cellsPerRegion } = configuration.limits;
  for (const description of announced) {
    const recorded = scheduling.workers.get(description.worker);
    const owner =
      recorded?.cell ??
      cellOfWorker(description.worker, description.region, cellsPerRegion);
    const changed =
      recorded === undefined || !isSame(recorded.description, description);
    if (owner === cell && changed) {
      pass.decide({ type: 'worker-join', description });
    }
  }
}
