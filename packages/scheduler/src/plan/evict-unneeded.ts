import { isTaskInForce } from '@basilcourse/shared-state/configuration/is-task-in-force';
import type { Attempt } from '@basilcourse/shared-state/scheduling/attempt';

import type { PlanPass } from './plan-pass.js';

function surplusOf(
  attempts: readonly Attempt[],
  targetCount: number,
): readonly Attempt[] {
  const assigned = attempts.filter(attempt => attempt.state === 'assigned');
  const newestFirst = [...assigned].sort(
    (left, right) => right.placedAt - left.placedAt,
  );
  return newestFirst.slice(0, Math.max(0, assigned.length - targetCount));
}

/** Evicts attempts of withdrawn services and jobs, and surplus minions. */
export function evictUnneeded(pass: PlanPass): void {
  const { configuration, scheduling, cell } = pass.input;
  for (const attempt of scheduling.attempts.values()) {
    if (attempt.cell === cell && !isTaskInForce(configuration, attempt.task)) {
      pass.evict(attempt, 'withdrawn by a release note');
    }
  }
  for (const service of configuration.services.values()) {
    const attempts = scheduling.attemptsOf(`service/${service.name}`);
    const undrained = attempts.filter(
      attempt => !configuration.drained.has(attempt.worker),
    );
    for (const attempt of surplusOf(undrained, service.minions)) {
      if (attempt.cell === cell) {
        pass.evict(attempt, `more than ${service.minions} minions run`);
      }
    }
  }
}
