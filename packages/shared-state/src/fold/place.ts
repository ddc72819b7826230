import { isTaskInForce } from '../configuration/is-task-in-force.js';
import type { Decision } from '../records/decision.js';
import { fits } from '../resources/fits.js';
import { subtract } from '../resources/subtract.js';
import {
  attemptName,
  isServiceTask,
  ownerOf,
  serviceOf,
} from '../scheduling/task-names.js';
import type { DecisionContext } from './decision-context.js';

type PlaceDecision = Extract<Decision, { readonly type: 'place' }>;

function workerRefusal(
  context: DecisionContext,
  decision: PlaceDecision,
): string {
  const { scheduling, configuration } = context.fold;
  const worker = scheduling.workers.get(decision.worker);
  if (worker?.cell !== context.cell) {
    return 'no such worker in the cell';
  }
  if (configuration.drained.has(decision.worker)) {
    return 'the worker is drained';
  }
  if (worker.condition === 'unreachable') {
    return 'the worker is unreachable';
  }
  const available = subtract(worker.description.resources, worker.assigned);
  return fits(decision.resources, available) ? '' : 'the worker has no room';
}

function serviceRefusal(context: DecisionContext, task: string): string {
  const { scheduling, configuration } = context.fold;
  const service = configuration.services.get(serviceOf(task));
  if (service === undefined) {
    return 'the service is not in force';
  }
  const assignedAttempts = scheduling
    .attemptsOf(ownerOf(task))
    .filter(
      attempt =>
        attempt.state === 'assigned' &&
        !configuration.drained.has(attempt.worker),
    );
  return assignedAttempts.length < service.minions ? '' : 'enough minions run';
}

function jobRefusal(context: DecisionContext, task: string): string {
  const { scheduling, configuration } = context.fold;
  if (!isTaskInForce(configuration, task)) {
    return 'the job is not in force';
  }
  const finished = scheduling.tasks.get(task)?.finished === true;
  return finished ? 'the job is finished' : '';
}

function taskRefusal(
  context: DecisionContext,
  decision: PlaceDecision,
): string {
  const { scheduling } = context.fold;
  const progress = scheduling.progressOf(decision.task);
  if (scheduling.ownerCell(decision.task) !== context.cell) {
    return 'the task belongs to another cell';
  }
  if (progress.active !== '') {
    return 'an attempt is active';
  }
  if (progress.attempts + 1 !== decision.attempt) {
    return 'the attempt has another number';
  }
  return isServiceTask(decision.task)
    ? serviceRefusal(context, decision.task)
    : jobRefusal(context, decision.task);
}

/**
 * Adds an active attempt, unless the task already has one or the worker lacks
 * free resources.
 */
export function place(
  context: DecisionContext,
  decision: PlaceDecision,
): string {
  const refusal =
    taskRefusal(context, decision) || workerRefusal(context, decision);
  if (refusal !== '') {
    return refusal;
  }
  const { scheduling, record } = context.fold;
  const id = attemptName(decision.task, decision.attempt);
  scheduling.addAttempt({
    id,
    task: decision.task,
    number: decision.attempt,
    worker: decision.worker,
    cell: context.cell,
    epoch: context.epoch,
    resources: decision.resources,
    state: 'assigned',
    reason: decision.reason,
    placedAt: record.envelope.writtenAt,
    keeperSince: record.envelope.writtenAt,
    keeperSinceOffset: record.offset,
  });
  const progress = scheduling.progressOf(decision.task);
  scheduling.tasks.set(decision.task, {
    ...progress,
    attempts: decision.attempt,
    active: id,
    unplaceable: '',
  });
  return '';
}
