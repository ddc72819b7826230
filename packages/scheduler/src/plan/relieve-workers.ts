import { taskKindOf } from '@basilcourse/shared-state/configuration/task-kind-of';
import { fits } from '@basilcourse/shared-state/resources/fits';
import type { Attempt } from '@basilcourse/shared-state/scheduling/attempt';
import {
  isServiceTask,
  serviceOf,
} from '@basilcourse/shared-state/scheduling/task-names';
import type { Worker } from '@basilcourse/shared-state/scheduling/worker';

import { initialShare } from '../placement/interference-budget.js';
import { cheapestVictims } from './cheapest-victims.js';
import type { PlanPass } from './plan-pass.js';

/** Share of a worker's memory in use above which batch tasks are evicted. */
const MAXIMUM_MEMORY_SHARE = 0.97;

/** Processor share at or below which a batch task may be moved. */
const MAXIMUM_THROTTLED_SHARE = 0.2;

/** Minimum run time before a throttled task may be moved. */
const MINIMUM_RUN_MILLISECONDS = 60_000;

/** Returns whether enough other minions run for a minion to be evicted. */
function hasReplacement(pass: PlanPass, attempt: Attempt): boolean {
  const { scheduling, configuration, views } = pass.input;
  const service = configuration.services.get(serviceOf(attempt.task));
  const running = scheduling
    .attemptsOf(`service/${service?.name ?? ''}`)
    .filter(
      other =>
        other.state === 'assigned' &&
        !configuration.drained.has(other.worker) &&
        views.get(other.worker)?.tasks.get(other.id)?.state === 'running',
    );
  return running.length >= (service?.minions ?? 0);
}

function evictFromDrained(pass: PlanPass, attempts: readonly Attempt[]): void {
  for (const attempt of attempts) {
    if (!isServiceTask(attempt.task) || hasReplacement(pass, attempt)) {
      pass.evict(attempt, 'the worker is drained');
    }
  }
}

function evictForMemory(pass: PlanPass, worker: Worker): void {
  const { worker: name, resources } = worker.description;
  const view = pass.input.views.get(name);
  const maximumGigabytes = resources.memoryGigabytes * MAXIMUM_MEMORY_SHARE;
  const attempts = pass.input.scheduling.attemptsOn(name);
  const isEvictionPending = attempts.some(attempt => pass.isEvicting(attempt));
  if (
    view === undefined ||
    view.usedMemoryGigabytes <= maximumGigabytes ||
    isEvictionPending
  ) {
    return;
  }
  const victim = cheapestVictims(pass, attempts)[0];
  if (victim !== undefined) {
    pass.evict(victim, `memory in use on ${name} is over its size`);
  }
}

/** Returns whether another worker could run the task unthrottled now. */
function hasUnthrottledWorker(pass: PlanPass, attempt: Attempt): boolean {
  const { configuration, estimator } = pass.input;
  const taskKind = taskKindOf(configuration, attempt.task);
  return pass.capacity
    .candidatesFor(attempt.task)
    .some(
      ({ worker, availableResources, neighbours }) =>
        worker !== attempt.worker &&
        fits(attempt.resources, availableResources) &&
        initialShare(
          { ...pass.scoring, interference: estimator.interference },
          neighbours,
          taskKind,
        ) === 1,
    );
}

function evictThrottled(pass: PlanPass, worker: string): void {
  const all = pass.input.scheduling.attemptsOn(worker);
  for (const attempt of cheapestVictims(pass, all)) {
    const view = pass.input.views.get(attempt.worker);
    const report = view?.tasks.get(attempt.id);
    const isThrottled =
      report?.state === 'running' && report.throttle <= MAXIMUM_THROTTLED_SHARE;
    const hasRunMinimum =
      pass.now - attempt.placedAt > MINIMUM_RUN_MILLISECONDS;
    if (isThrottled && hasRunMinimum && hasUnthrottledWorker(pass, attempt)) {
      pass.evict(attempt, 'throttled to its least, and another worker is free');
      return;
    }
  }
}

/**
 * Evicts tasks from drained workers, from workers that are short of memory, and
 * throttled tasks that could run unthrottled elsewhere.
 */
export function relieveWorkers(pass: PlanPass): void {
  const { scheduling, configuration, cell } = pass.input;
  for (const worker of scheduling.workers.values()) {
    if (worker.cell !== cell) {
      continue;
    }
    const { worker: name } = worker.description;
    const attempts = scheduling.attemptsOn(name);
    if (configuration.drained.has(name)) {
      evictFromDrained(pass, attempts);
    }
    evictForMemory(pass, worker);
    evictThrottled(pass, name);
  }
}
