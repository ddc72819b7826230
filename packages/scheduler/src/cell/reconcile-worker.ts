import type { Configuration } from '@basilcourse/shared-state/configuration/configuration';
import { isTaskInForce } from '@basilcourse/shared-state/configuration/is-task-in-force';
import type {
  AttemptOutcome,
  Decision,
} from '@basilcourse/shared-state/records/decision';
import type { Attempt } from '@basilcourse/shared-state/scheduling/attempt';
import type { Scheduling } from '@basilcourse/shared-state/scheduling/scheduling';
import {
  isServiceTask,
  jobOf,
  serviceOf,
} from '@basilcourse/shared-state/scheduling/task-names';

import type { StartCommand } from '../platform/start-command.js';
import type { StopCommand } from '../platform/stop-command.js';
import type { TaskReport } from '../platform/task-report.js';
import type { GrantedLeases } from './granted-leases.js';
import {
  CLOCK_ERROR_MILLISECONDS,
  JOB_GRACE_MILLISECONDS,
  SERVICE_GRACE_MILLISECONDS,
  START_WINDOW_MILLISECONDS,
} from './timing.js';
import type { WorkerActions } from './worker-actions.js';
import type { WorkerView } from './worker-view.js';

/** Input of the reconciliation of one worker. */
export interface ReconcileInput {
  readonly worker: string;
  readonly configuration: Configuration;
  readonly scheduling: Scheduling;
  readonly view: WorkerView;
  readonly leases: GrantedLeases;
  /** Attempts that the worker has reported as running to this holder. */
  readonly confirmed: ReadonlySet<string>;
}

function endDecision(
  attemptId: string,
  outcome: AttemptOutcome,
  checkpoint: string,
  reason: string,
): Decision {
  return { type: 'end', attemptId, outcome, checkpoint, reason };
}

/** Outcome of an attempt by the state that its worker reports. */
const outcomesByState: Readonly<
  Record<TaskReport['state'], AttemptOutcome | undefined>
> = {
  running: undefined,
  finished: 'finished',
  failed: 'failed',
  stopped: 'evicted',
  lapsed: 'lapsed',
};

function endDecisionFor(
  input: ReconcileInput,
  attempt: Attempt,
  report: TaskReport,
): Decision | undefined {
  const outcome = outcomesByState[report.state];
  if (outcome === undefined) {
    return undefined;
  }
  const inForce = isTaskInForce(input.configuration, attempt.task);
  const recordedOutcome =
    outcome === 'evicted' && !inForce ? 'cancelled' : outcome;
  return endDecision(
    attempt.id,
    recordedOutcome,
    report.checkpoint,
    report.reason,
  );
}

function stopCommandFor(attempt: Attempt): StopCommand {
  const service = isServiceTask(attempt.task);
  return {
    attempt: attempt.id,
    checkpoint: !service,
    graceMilliseconds: service
      ? SERVICE_GRACE_MILLISECONDS
      : JOB_GRACE_MILLISECONDS,
  };
}

function startCommandFor(
  input: ReconcileInput,
  attempt: Attempt,
  now: number,
): StartCommand | undefined {
  const { configuration, scheduling } = input;
  const service = configuration.services.get(serviceOf(attempt.task));
  const job = configuration.jobs.get(jobOf(attempt.task));
  const taskKind = service?.taskKind ?? job?.taskKind;
  if (taskKind === undefined) {
    return undefined;
  }
  return {
    attempt: attempt.id,
    task: attempt.task,
    taskKind,
    role: service === undefined ? 'job' : 'service',
    resources: attempt.resources,
    leaseUntil: now + configuration.limits.taskLeaseSeconds * 1000,
    checkpoint: scheduling.tasks.get(attempt.task)?.checkpoint ?? '',
    service: service?.name ?? '',
    slots: service?.slots ?? 0,
    connections: service?.connections ?? 0,
    declaredSeconds: job?.declaredSeconds ?? 0,
  };
}

function mayStart(
  input: ReconcileInput,
  attempt: Attempt,
  now: number,
): boolean {
  const inWindow = now < attempt.placedAt + START_WINDOW_MILLISECONDS;
  return (
    attempt.state === 'assigned' && inWindow && !input.confirmed.has(attempt.id)
  );
}

/**
 * Compares the state of a worker in the log with the worker's own report.
 *
 * An attempt that is missing from the report is started if its start window is
 * still open. After the window it is recorded as ended, but only once every
 * lease under which it could still start has expired.
 */
export function reconcileWorker(
  input: ReconcileInput,
  now: number,
): WorkerActions {
  const { scheduling, view, leases, worker } = input;
  const starts: StartCommand[] = [];
  const stops: StopCommand[] = [];
  const decisions: Decision[] = [];
  const active = scheduling.attemptsOn(worker);
  for (const attempt of active) {
    const report = view.tasks.get(attempt.id);
    const decision = report && endDecisionFor(input, attempt, report);
    if (decision !== undefined) {
      decisions.push(decision);
      continue;
    }
    if (report !== undefined) {
      if (attempt.state === 'evicting') {
        stops.push(stopCommandFor(attempt));
      }
      continue;
    }
    const start = mayStart(input, attempt, now)
      ? startCommandFor(input, attempt, now)
      : undefined;
    if (start !== undefined) {
      starts.push(start);
      continue;
    }
    if (now > leases.expiresAt(attempt.id) + CLOCK_ERROR_MILLISECONDS) {
      const outcome = input.confirmed.has(attempt.id)
        ? 'lapsed'
        : 'not-started';
      const reason = 'the worker does not know the attempt';
      decisions.push(endDecision(attempt.id, outcome, '', reason));
    }
  }
  const activeIds = new Set(active.map(attempt => attempt.id));
  const inactiveReports = [...view.tasks.values()].filter(
    report => !activeIds.has(report.attempt),
  );
  for (const report of inactiveReports) {
    if (report.state === 'running') {
      const graceMilliseconds = 0;
      stops.push({
        attempt: report.attempt,
        checkpoint: false,
        graceMilliseconds,
      });
    }
  }
  const acknowledged = inactiveReports
    .filter(report => report.state !== 'running')
    .map(report => report.attempt);
  return { starts, stops, decisions, acknowledged };
}
