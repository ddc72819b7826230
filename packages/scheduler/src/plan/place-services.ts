import type { Service } from '@basilcourse/shared-state/release-note/service';
import { serviceTask } from '@basilcourse/shared-state/scheduling/task-names';

import type { PlacementRequest } from '../placement/placement-request.js';
import { earliestRetryTime } from '../repair/retry-delay.js';
import type { PlanPass } from './plan-pass.js';
import { preemptBatch } from './preempt-batch.js';

/**
 * Minion numbers to try beyond the configured count, because a lost minion
 * keeps its number while its attempt is active.
 */
const SPARE_MINION_NUMBERS = 64;

function missingMinions(pass: PlanPass, service: Service): number {
  const { scheduling, configuration } = pass.input;
  const assigned = scheduling
    .attemptsOf(`service/${service.name}`)
    .filter(
      attempt =>
        attempt.state === 'assigned' &&
        !configuration.drained.has(attempt.worker),
    );
  return service.minions - assigned.length;
}

function inactiveTasks(
  pass: PlanPass,
  service: Service,
  missing: number,
): readonly string[] {
  const { scheduling } = pass.input;
  const inactive: string[] = [];
  const maximumNumber = service.minions + SPARE_MINION_NUMBERS;
  for (
    let minion = 0;
    minion < maximumNumber && inactive.length < missing;
    minion += 1
  ) {
    const task = serviceTask(service.name, minion);
    if ((scheduling.tasks.get(task)?.active ?? '') === '') {
      inactive.push(task);
    }
  }
  return inactive;
}

function placeMinion(pass: PlanPass, service: Service, task: string): void {
  const { estimator, scheduling } = pass.input;
  const progress = scheduling.tasks.get(task);
  const request: PlacementRequest = {
    task,
    taskKind: service.taskKind,
    role: 'service',
    resources: estimator.usage.resourcesFor(
      service.taskKind,
      service.resources,
    ),
    urgent: true,
    failedOn: progress?.failedOn ?? [],
  };
  if (progress !== undefined && pass.now < earliestRetryTime(progress)) {
    return;
  }
  const choice = pass.choose(request);
  if (choice === undefined) {
    preemptBatch(pass, request, `room for a minion of ${service.name}`);
    return;
  }
  pass.place(request, choice);
}

/** Places the missing minions of the services. */
export function placeServices(pass: PlanPass): void {
  const { configuration, scheduling, cell } = pass.input;
  for (const service of configuration.services.values()) {
    const missing = missingMinions(pass, service);
    for (const task of inactiveTasks(pass, service, missing)) {
      if (scheduling.ownerCell(task) === cell && !pass.isFull) {
        placeMinion(pass, service, task);
      }
    }
  }
}
