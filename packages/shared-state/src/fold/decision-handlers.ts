import type { Decision } from '../records/decision.js';
import { NO_RESOURCES } from '../resources/no-resources.js';
import type { Attempt } from '../scheduling/attempt.js';
import { cellOfWorker } from '../scheduling/cell-names.js';
import { isServiceTask, ownerOf } from '../scheduling/task-names.js';
import type { TaskProgress } from '../scheduling/task-progress.js';
import type { DecisionContext } from './decision-context.js';
import type { FoldContext } from './fold-context.js';
import { place } from './place.js';
import { shouldKeepProgress } from './should-keep-progress.js';

/** Applies a decision; returns why it is void, or an empty string. */
export type DecisionHandler<Type extends Decision['type']> = (
  context: DecisionContext,
  decision: Extract<Decision, { readonly type: Type }>,
) => string;

/** Maximum number of workers kept in `failedOn`. */
const MAXIMUM_FAILED_WORKERS = 8;

function attemptInCell(
  { fold, cell }: DecisionContext,
  attemptId: string,
): Attempt | undefined {
  const attempt = fold.scheduling.attempts.get(attemptId);
  return attempt?.cell === cell ? attempt : undefined;
}

function changeState(
  context: DecisionContext,
  attemptId: string,
  state: Attempt['state'],
  reason: string,
): string {
  const attempt = attemptInCell(context, attemptId);
  if (attempt === undefined) {
    return 'no such active attempt in the cell';
  }
  context.fold.scheduling.storeAttempt({ ...attempt, state, reason });
  return '';
}

function progressAfterEnd(
  before: TaskProgress,
  attempt: Attempt,
  end: Extract<Decision, { readonly type: 'end' }>,
  endedAt: number,
): TaskProgress {
  const failed = end.outcome === 'failed';
  const failedOn = [...before.failedOn, attempt.worker];
  return {
    ...before,
    active: '',
    evictions: before.evictions + (end.outcome === 'evicted' ? 1 : 0),
    failures: before.failures + (failed ? 1 : 0),
    finished: before.finished || end.outcome === 'finished',
    checkpoint: end.checkpoint === '' ? before.checkpoint : end.checkpoint,
    lastOutcome: end.outcome,
    lastReason: end.reason,
    failedOn: failed
      ? failedOn.slice(-MAXIMUM_FAILED_WORKERS)
      : before.failedOn,
    endedAt,
  };
}

/**
 * Records that an attempt of a service kept idempotency keys until now. Such a
 * period stays recorded for twice the time that keys are kept, to allow for
 * differences between clocks.
 */
function recordKeyOwnership(
  { scheduling, configuration, record }: FoldContext,
  attempt: Attempt,
): void {
  const { id, task, state, keeperSince: keptFrom } = attempt;
  if (!isServiceTask(task) || state === 'lost') {
    return;
  }
  const { writtenAt } = record.envelope;
  const claimMemoryMilliseconds =
    configuration.limits.claimMemorySeconds * 1000;
  // The clocks of two holders may differ by more than the attempt's duration.
  const keptUntil = Math.max(writtenAt, keptFrom + 1);
  const minion = { attempt: id, owner: ownerOf(task), keptFrom, keptUntil };
  scheduling.recordKeyOwnershipPeriod(
    minion,
    writtenAt - 2 * claimMemoryMilliseconds,
  );
}

const lose: DecisionHandler<'lose'> = (context, { attemptId, reason }) => {
  const attempt = attemptInCell(context, attemptId);
  if (attempt !== undefined) {
    recordKeyOwnership(context.fold, attempt);
  }
  return changeState(context, attemptId, 'lost', reason);
};

const recover: DecisionHandler<'recover'> = (context, { attemptId }) => {
  const attempt = attemptInCell(context, attemptId);
  if (attempt === undefined) {
    return 'no such active attempt in the cell';
  }
  const { scheduling, record } = context.fold;
  const keyPeriodStart =
    attempt.state === 'lost'
      ? {
          keeperSince: record.envelope.writtenAt,
          keeperSinceOffset: record.offset,
        }
      : {};
  scheduling.storeAttempt({
    ...attempt,
    ...keyPeriodStart,
    state: 'assigned',
    reason: '',
  });
  return '';
};

const end: DecisionHandler<'end'> = (context, decision) => {
  const attempt = attemptInCell(context, decision.attemptId);
  if (attempt === undefined) {
    return 'no such active attempt in the cell';
  }
  const { scheduling, record } = context.fold;
  scheduling.removeAttempt(attempt);
  recordKeyOwnership(context.fold, attempt);
  if (isServiceTask(attempt.task) && decision.outcome === 'cancelled') {
    scheduling.tasks.set(attempt.task, {
      ...scheduling.progressOf(attempt.task),
      active: '',
    });
    return '';
  }
  const before = scheduling.progressOf(attempt.task);
  if (!shouldKeepProgress(context.fold, attempt.task)) {
    scheduling.tasks.delete(attempt.task);
    return '';
  }
  const { writtenAt } = record.envelope;
  const after = progressAfterEnd(before, attempt, decision, writtenAt);
  scheduling.tasks.set(attempt.task, after);
  return '';
};

const workerJoin: DecisionHandler<'worker-join'> = (context, decision) => {
  const { scheduling, configuration } = context.fold;
  const { description } = decision;
  const { cellsPerRegion } = configuration.limits;
  const registered = scheduling.workers.get(description.worker);
  const cell =
    registered?.cell ??
    cellOfWorker(description.worker, description.region, cellsPerRegion);
  if (cell !== context.cell) {
    return `the worker belongs to ${cell}`;
  }
  const assigned = registered?.assigned ?? NO_RESOURCES;
  const condition = registered?.condition ?? 'ready';
  const reason = registered?.reason ?? '';
  scheduling.setWorker({ description, cell, condition, reason, assigned });
  return '';
};

const workerLeave: DecisionHandler<'worker-leave'> = (context, decision) => {
  const { scheduling } = context.fold;
  const worker = scheduling.workers.get(decision.worker);
  if (worker?.cell !== context.cell) {
    return 'no such worker in the cell';
  }
  if (scheduling.attemptsOn(decision.worker).length > 0) {
    return 'attempts may still run there';
  }
  scheduling.removeWorker(decision.worker);
  return '';
};

const workerCondition: DecisionHandler<'worker-condition'> = (
  context,
  decision,
) => {
  const { scheduling } = context.fold;
  const worker = scheduling.workers.get(decision.worker);
  if (worker?.cell !== context.cell) {
    return 'no such worker in the cell';
  }
  const { condition, reason } = decision;
  scheduling.setWorker({ ...worker, condition, reason });
  return '';
};

const forward: DecisionHandler<'forward'> = (context, decision) => {
  const { scheduling } = context.fold;
  const progress = scheduling.progressOf(decision.task);
  if (scheduling.ownerCell(decision.task) !== context.cell) {
    return 'the task belongs to another cell';
  }
  if (progress.active !== '') {
    return 'an attempt is active';
  }
  const forwardedTo = decision.cell;
  scheduling.tasks.set(decision.task, { ...progress, forwardedTo });
  return '';
};

const reportUnplaceable: DecisionHandler<'report-unplaceable'> = (
  context,
  decision,
) => {
  const { scheduling } = context.fold;
  if (scheduling.ownerCell(decision.task) !== context.cell) {
    return 'the task belongs to another cell';
  }
  const progress = scheduling.progressOf(decision.task);
  const unplaceable = decision.reason;
  scheduling.tasks.set(decision.task, { ...progress, unplaceable });
  return '';
};

/** Handlers by type of decision. */
export const decisionHandlers: {
  readonly [Type in Decision['type']]: DecisionHandler<Type>;
} = {
  place,
  evict: (context, decision) =>
    changeState(context, decision.attemptId, 'evicting', decision.reason),
  lose,
  recover,
  end,
  'worker-join': workerJoin,
  'worker-leave': workerLeave,
  'worker-condition': workerCondition,
  forward,
  'report-unplaceable': reportUnplaceable,
};
