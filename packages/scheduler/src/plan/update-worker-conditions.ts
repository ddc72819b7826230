import type { Attempt } from '@basilcourse/shared-state/scheduling/attempt';
import { isServiceTask } from '@basilcourse/shared-state/scheduling/task-names';
import type { Worker } from '@basilcourse/shared-state/scheduling/worker';

import {
  CLOCK_ERROR_MILLISECONDS,
  UNREACHABLE_TIMEOUT_MILLISECONDS,
} from '../cell/timing.js';
import type { WorkerView } from '../cell/worker-view.js';
import { updateProbation } from '../repair/update-probation.js';
import type { PlanPass } from './plan-pass.js';

/** Time without an answer after which a worker without attempts is removed. */
const REMOVAL_TIMEOUT_MILLISECONDS = 600_000;

function isUnreachable(view: WorkerView | undefined, now: number): boolean {
  return (
    view !== undefined &&
    view.failingSince > 0 &&
    now - view.failingSince >= UNREACHABLE_TIMEOUT_MILLISECONDS
  );
}

function endOrMarkLost(pass: PlanPass, attempt: Attempt): void {
  const expiresAt = pass.input.leases.expiresAt(attempt.id);
  if (pass.now > expiresAt + CLOCK_ERROR_MILLISECONDS) {
    pass.decide({
      type: 'end',
      attemptId: attempt.id,
      outcome: 'lapsed',
      checkpoint: '',
      reason: `worker ${attempt.worker} is silent and the lease has lapsed`,
    });
    return;
  }
  if (isServiceTask(attempt.task) && attempt.state === 'assigned') {
    const reason = `worker ${attempt.worker} is silent`;
    pass.decide({ type: 'lose', attemptId: attempt.id, reason });
  }
}

function handleUnreachable(
  pass: PlanPass,
  worker: Worker,
  view: WorkerView,
): void {
  const { worker: name } = worker.description;
  const attempts = pass.input.scheduling.attemptsOn(name);
  if (worker.condition !== 'unreachable') {
    const seconds = Math.round((pass.now - view.failingSince) / 1000);
    const reason = `no answer for ${seconds} s`;
    const condition = 'unreachable';
    pass.decide({ type: 'worker-condition', worker: name, condition, reason });
  }
  for (const attempt of attempts) {
    endOrMarkLost(pass, attempt);
  }
  const unreachableMilliseconds = pass.now - view.failingSince;
  if (
    attempts.length === 0 &&
    unreachableMilliseconds > REMOVAL_TIMEOUT_MILLISECONDS
  ) {
    pass.decide({ type: 'worker-leave', worker: name, reason: 'silent' });
  }
}

function handleResponding(pass: PlanPass, worker: Worker): void {
  const { worker: name } = worker.description;
  if (worker.condition === 'unreachable') {
    const reason = 'answers again';
    const condition = 'ready';
    pass.decide({ type: 'worker-condition', worker: name, condition, reason });
  }
  for (const attempt of pass.input.scheduling.attemptsOn(name)) {
    const report = pass.input.views.get(name)?.tasks.get(attempt.id);
    if (attempt.state === 'lost' && report?.state === 'running') {
      pass.decide({ type: 'recover', attemptId: attempt.id });
    }
  }
}

/**
 * Marks workers that do not answer as unreachable, and ends their attempts once
 * no lease can be in force. Marks workers that answer again as ready.
 */
export function updateWorkerConditions(pass: PlanPass): void {
  const { scheduling, views, cell } = pass.input;
  for (const worker of scheduling.workers.values()) {
    if (worker.cell !== cell) {
      continue;
    }
    const view = views.get(worker.description.worker);
    if (view !== undefined && isUnreachable(view, pass.now)) {
      handleUnreachable(pass, worker, view);
    } else if (
      view !== undefined &&
      view.answeredAt > 0 &&
      view.failingSince === 0
    ) {
      handleResponding(pass, worker);
    }
  }
  updateProbation(pass);
}
