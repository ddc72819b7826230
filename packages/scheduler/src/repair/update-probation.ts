import type { Worker } from '@basilcourse/shared-state/scheduling/worker';

import type { PlanPass } from '../plan/plan-pass.js';
import { collectEvidence } from './collect-evidence.js';

/** Number of tasks failing on one worker only that puts it on probation. */
const PROBATION_FAILURE_COUNT = 3;

/** Time on probation before a worker accepts tasks again. */
const PROBATION_MILLISECONDS = 30_000;

const PROBATION_PREFIX = 'since ';

function probationStart(worker: Worker): number {
  return Number(worker.reason.slice(PROBATION_PREFIX.length).split(' ')[0]);
}

function mayAddProbation(
  workers: readonly Worker[],
  share: number,
  added: number,
): boolean {
  const onProbation = workers.filter(
    worker => worker.condition === 'probation',
  ).length;
  const maximum = Math.max(1, Math.floor(workers.length * share));
  return onProbation + added < maximum;
}

/**
 * Puts a worker on probation when several tasks have recently failed on it and
 * on no other worker. Marks it as ready again after a fixed time, so that new
 * tasks show whether it has recovered.
 */
export function updateProbation(pass: PlanPass): void {
  const { scheduling, configuration, cell } = pass.input;
  const workers = [...scheduling.workers.values()].filter(
    worker => worker.cell === cell,
  );
  const failuresByWorker = collectEvidence(scheduling, pass.now);
  const { probationShare } = configuration.limits;
  let added = 0;
  for (const worker of workers) {
    const name = worker.description.worker;
    if (worker.condition === 'probation') {
      const hasEnded =
        pass.now - probationStart(worker) > PROBATION_MILLISECONDS;
      if (hasEnded) {
        pass.decide({
          type: 'worker-condition',
          worker: name,
          condition: 'ready',
          reason: 'probation is over',
        });
      }
      continue;
    }
    const failures = failuresByWorker.get(name)?.failedOnlyHere ?? 0;
    const hasTooManyFailures =
      worker.condition === 'ready' && failures >= PROBATION_FAILURE_COUNT;
    if (hasTooManyFailures && mayAddProbation(workers, probationShare, added)) {
      added += 1;
      pass.decide({
        type: 'worker-condition',
        worker: name,
        condition: 'probation',
        reason: `${PROBATION_PREFIX}${pass.now} after ${failures} tasks failed only there`,
      });
    }
  }
}
