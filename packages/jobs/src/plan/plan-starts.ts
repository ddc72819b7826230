import type { JobTable } from '../state/job-table.js';
import type { MinionEntry } from '../state/minion-entry.js';
import type { TaskEntry } from '../state/task-entry.js';
import { canWait } from './can-wait.js';
import { CandidateMinion } from './candidate-minion.js';
import { conditionsOfStep } from './conditions-of-step.js';
import { findMinionObstacle } from './find-minion-obstacle.js';
import { findPassedOver } from './find-passed-over.js';
import { FirstCalls } from './first-calls.js';
import { fullServices } from './full-services.js';
import type { InterferencePredictor } from './interference-predictor.js';
import type { PassedOver } from './passed-over.js';
import { patience } from './patience.js';
import { planStep } from './plan-step.js';
import type { PlannedStart } from './planned-start.js';
import { reserveRoom } from './reserve-room.js';
import { startableSteps } from './startable-steps.js';
import { compareUrgency, urgencyOf } from './urgency.js';
import type { WaitingJob } from './waiting-job.js';

/**
 * Plans a round of starts: the jobs in order of urgency, and as many tasks of
 * each as there is free capacity for. A task that was passed over for long, while
 * its work stands still, starts wherever there is room for it; at times the one
 * that has waited longest has the first call, and room is reserved for it.
 *
 * @param firstCalls - State that successive rounds share.
 */
export function planStarts(
  table: JobTable,
  predictor: InterferencePredictor,
  now: number,
  firstCalls = new FirstCalls(),
): readonly PlannedStart[] {
  const waiting = waitingJobs(table, now);
  if (waiting.length === 0) {
    return [];
  }
  const candidates = [...table.minions.values()]
    .filter(minion => acceptsStarts(minion, now))
    .map(minion => new CandidateMinion(minion));
  const full = fullServices(candidates);
  const passedOver = findPassedOver(table, waiting, full, now);
  const longest = passedOver.filter(
    ({ job, since }) => now - since >= patience(full.has(job.queue.service)),
  );
  const startWaiting = (unit: PassedOver): readonly PlannedStart[] => {
    const { job, tasks, urgency } = unit;
    const mayWait = canWait([tasks], urgency, now);
    const mode = { mayWait, mayOvercommit: true };
    const conditions = conditionsOfStep(job, tasks.length, predictor, mode);
    return planStep(job, tasks, candidates, conditions);
  };
  const starts = [
    ...serveFirstCalls(longest, candidates, firstCalls, startWaiting),
  ];
  const add = (planned: readonly PlannedStart[]): void => {
    starts.push(...planned);
    firstCalls.count(planned);
  };
  const isUnstarted = (task: TaskEntry): boolean =>
    !starts.some(start => start.task === task);
  const hasFirstCalls = starts.length > 0;
  for (const { job, steps, urgency } of waiting) {
    const mayWait = canWait(steps, urgency, now);
    for (const step of steps) {
      const tasks = hasFirstCalls ? step.filter(isUnstarted) : step;
      const mode = { mayWait, mayOvercommit: false };
      const count = tasks.length;
      const conditions = conditionsOfStep(job, count, predictor, mode);
      add(planStep(job, tasks, candidates, conditions));
    }
  }
  for (const unit of passedOver) {
    if (isBatch(unit) && !starts.some(({ task }) => endsWait(task, unit))) {
      add(startWaiting(unit));
    }
  }
  return starts;
}

function isBatch({ tasks }: PassedOver): boolean {
  return tasks.some(({ specification }) => specification.filling);
}

/** Whether a task that starts ends the standstill of what was passed over. */
function endsWait(task: TaskEntry, { tasks: [first] }: PassedOver): boolean {
  return first?.specification.longRunning === true
    ? task === first
    : task.jobIdentifier === first?.jobIdentifier &&
        task.occurrence === first.occurrence;
}

/**
 * Starts, for each service of which a first call is due, what has waited longest;
 * reserves room for it if there is none.
 */
function serveFirstCalls(
  passedOver: readonly PassedOver[],
  candidates: readonly CandidateMinion[],
  firstCalls: FirstCalls,
  startWaiting: (unit: PassedOver) => readonly PlannedStart[],
): readonly PlannedStart[] {
  const starts: PlannedStart[] = [];
  const served = new Set<string>();
  for (const unit of withReservedFirst(passedOver, firstCalls)) {
    const { service } = unit.job.queue;
    if (served.has(service) || !firstCalls.isDue(service)) {
      continue;
    }
    const planned = startWaiting(unit);
    if (planned.length > 0) {
      starts.push(...planned);
      firstCalls.use(service);
      served.add(service);
    } else {
      const kept = firstCalls.reservationFor(unit);
      const reservation = reserveRoom(unit, candidates, kept);
      if (reservation !== undefined) {
        firstCalls.reserve(service, reservation);
        served.add(service);
      }
    }
  }
  return starts;
}

/** Returns those with reserved room first, so that each keeps it until it starts. */
function withReservedFirst(
  passedOver: readonly PassedOver[],
  firstCalls: FirstCalls,
): readonly PassedOver[] {
  const hasRoom = (unit: PassedOver): boolean =>
    firstCalls.reservationFor(unit) !== undefined;
  return [
    ...passedOver.filter(hasRoom),
    ...passedOver.filter(unit => !hasRoom(unit)),
  ];
}

function waitingJobs(table: JobTable, now: number): readonly WaitingJob[] {
  const waiting: WaitingJob[] = [];
  for (const job of table.jobs.values()) {
    const steps = job.ended === undefined ? startableSteps(job, now) : [];
    if (steps.length > 0) {
      waiting.push({ job, steps, urgency: urgencyOf(job, now) });
    }
  }
  return waiting.sort((first, second) =>
    compareUrgency(first.urgency, second.urgency),
  );
}

/** Whether tasks may be started on a minion now. */
export function acceptsStarts(minion: MinionEntry, now: number): boolean {
  return findMinionObstacle(minion, now) === undefined;
}
