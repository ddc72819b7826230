import type { Decision } from '@basilcourse/shared-state/records/decision';

import { evictUnneeded } from './evict-unneeded.js';
import { joinWorkers } from './join-workers.js';
import { placeJobs } from './place-jobs.js';
import { placeServices } from './place-services.js';
import type { PlanInput } from './plan-input.js';
import { PlanPass } from './plan-pass.js';
import { relieveWorkers } from './relieve-workers.js';
import { updateWorkerConditions } from './update-worker-conditions.js';

/** Steps of a pass in the order in which they add their decisions. */
const steps: readonly ((pass: PlanPass) => void)[] = [
  joinWorkers,
  updateWorkerConditions,
  evictUnneeded,
  relieveWorkers,
  placeServices,
  placeJobs,
];

/** Runs one plan pass for a cell and returns its decisions. */
export function planCell(input: PlanInput, now: number): readonly Decision[] {
  const pass = new PlanPass(input, now);
  for (const step of steps) {
    step(pass);
  }
  return pass.decisions;
}
