import type { AgentReport } from '../model/agent-report.js';
import type { RunEnd } from '../model/run-end.js';
import type { RunningTask } from '../model/running-task.js';
import type { StartRefusal } from '../model/start-refusal.js';
import type { StopOrder } from '../model/stop-order.js';
import type { JobEntry } from '../state/job-entry.js';
import type { JobTable } from '../state/job-table.js';
import type { MinionEntry } from '../state/minion-entry.js';
import type { TaskEntry } from '../state/task-entry.js';
import { adoptListedRun } from './adopt-listed-run.js';
import { END_HANDLERS } from './end-handlers.js';
import { recordProgress } from './record-progress.js';
import type { ReportOutcome } from './report-outcome.js';

/** Time for which a minion that refused a start gets no other one. */
const REFUSAL_BACKOFF_MILLISECONDS = 400;

/** Maximum time without starts for a minion whose runs keep failing. */
const MAXIMUM_BACKOFF_MILLISECONDS = 4000;

/** Consecutive failed runs after which a minion gets no starts for a while. */
const FAILURES_BEFORE_BACKOFF = 3;

/**
 * Reconciles the table with an agent's report on its minion.
 *
 * An assigned run that the report contains neither as running nor as ended has
 * never begun if its order was sent under an older fencing token than that of
 * the report, since the minion refuses orders with an older token. This does not
 * hold for a report that does not contain all ends.
 */
export function applyReport(
  table: JobTable,
  minion: MinionEntry,
  report: AgentReport,
  now: number,
): ReportOutcome {
  const begun: JobEntry[] = [];
  const ended = report.ends.filter(end =>
    applyEnd(table, minion, end, begun, now),
  );
  const stops = report.running.flatMap(running =>
    applyRunning(table, minion, running, begun, now),
  );
  for (const refusal of report.refusals) {
    applyRefusal(table, minion, refusal, now);
  }
  const neverBegan =
    report.hasMoreEnds === true
      ? []
      : releaseUnlisted(table, minion, report, now);
  const endsThrough = report.ends.reduce(
    (highest, end) => Math.max(highest, end.number),
    0,
  );
  return { endsThrough, stops, ended, begun, neverBegan };
}

/** Marks a job whose task runs or has run; returns whether it is the first. */
function markBegun(job: JobEntry, begun: JobEntry[]): boolean {
  if (job.begun) {
    return false;
  }
  job.begun = true;
  begun.push(job);
  return true;
}

function applyEnd(
  table: JobTable,
  minion: MinionEntry,
  end: RunEnd,
  begun: JobEntry[],
  now: number,
): boolean {
  const task = table.task(end.task);
  const job = task && table.jobs.get(task.jobIdentifier);
  if (task?.phase === 'assigned') {
    adoptListedRun(table, minion, task, end.run, now);
  }
  minion.removeRun(end.task, end.run);
  if (!task || !job) {
    return false;
  }
  if (!task.isOn(minion.incarnation, end.run)) {
    return acceptLateSuccess(table, task, end, now);
  }
  markBegun(job, begun);
  if (end.reason === 'done' || end.reason === 'failed') {
    updateBackoff(minion, end.reason === 'done', now);
  }
  END_HANDLERS[end.reason](job, task, end, now);
  if (task.specification.gang && end.reason === 'done') {
    endGang(table, task);
  }
  job.endIfFinished(now);
  table.markChanged(task);
  return true;
}

/**
 * Accepts the success of a run that was abandoned too early, unless a later run
 * may have started. A later one whose order has not left is given up.
 */
function acceptLateSuccess(
  table: JobTable,
  task: TaskEntry,
  end: RunEnd,
  now: number,
): boolean {
  const unsent = task.phase === 'assigned' && !task.startSent;
  const isAccepted =
    end.reason === 'done' &&
    !task.specification.longRunning &&
    (unsent || (task.phase === 'waiting' && end.run === task.run));
  if (isAccepted) {
    table.minions.get(task.incarnation)?.removeRun(task.name, task.run);
    task.end('done');
    table.jobs.get(task.jobIdentifier)?.endIfFinished(now);
    table.markChanged(task);
  }
  return isAccepted;
}

function endGang(table: JobTable, task: TaskEntry): void {
  const job = table.jobs.get(task.jobIdentifier);
  const members = job?.occurrences.get(task.occurrence)?.[task.step] ?? [];
  for (const member of members) {
    member.end('done');
  }
}

function updateBackoff(
  minion: MinionEntry,
  success: boolean,
  now: number,
): void {
  minion.consecutiveFailures = success ? 0 : minion.consecutiveFailures + 1;
  if (minion.consecutiveFailures >= FAILURES_BEFORE_BACKOFF) {
    const backoff =
      REFUSAL_BACKOFF_MILLISECONDS * 2 ** minion.consecutiveFailures;
    minion.backoffUntil = now + Math.min(backoff, MAXIMUM_BACKOFF_MILLISECONDS);
  }
}

function applyRunning(
  table: JobTable,
  minion: MinionEntry,
  running: RunningTask,
  begun: JobEntry[],
  now: number,
): readonly StopOrder[] {
  const task = table.task(running.task);
  const job = task && table.jobs.get(task.jobIdentifier);
  if (!task || !job) {
    return [{ task: running.task, run: running.run }];
  }
  if (job.ended === undefined) {
    adoptListedRun(table, minion, task, running.run, now);
  }
  minion.addRun(task, running.run);
  const isCurrent = task.isOn(minion.incarnation, running.run);
  if (!isCurrent || job.ended !== undefined) {
    return [{ task: running.task, run: running.run }];
  }
  if (markBegun(job, begun)) {
    table.markChanged(task);
  }
  recordProgress(task, running, now);
  confirmRun(table, minion, task, now);
  return [];
}

/** Marks a run that ends with a granted lease; that of a lasting task is stored. */
function confirmRun(
  table: JobTable,
  minion: MinionEntry,
  task: TaskEntry,
  now: number,
): void {
  if (task.confirmed || now < minion.confirmsRunsFrom) {
    return;
  }
  task.confirmed = true;
  if (task.specification.longRunning) {
    table.markChanged(task);
  }
}

function applyRefusal(
  table: JobTable,
  minion: MinionEntry,
  refusal: StartRefusal,
  now: number,
): void {
  minion.removeRun(refusal.task, refusal.run);
  minion.backoffUntil = now + REFUSAL_BACKOFF_MILLISECONDS;
  const task = table.task(refusal.task);
  if (task?.isOn(minion.incarnation, refusal.run) === true) {
    task.release(now);
    table.markChanged(task);
  }
}

function releaseUnlisted(
  table: JobTable,
  minion: MinionEntry,
  report: AgentReport,
  now: number,
): readonly string[] {
  const listed = new Set(
    report.running.map(({ task, run }) => `${task}/${run}`),
  );
  const neverBegan: string[] = [];
  for (const [key, { task, run }] of minion.runs) {
    if (listed.has(key) || mayStillBegin(task, run, report)) {
      continue;
    }
    minion.removeRun(task.name, run);
    if (task.isOn(minion.incarnation, run)) {
      task.release(now);
      table.markChanged(task);
      neverBegan.push(task.name);
    }
  }
  return neverBegan;
}

function mayStillBegin(
  task: TaskEntry,
  run: number,
  report: AgentReport,
): boolean {
  const current = task.run === run && task.phase === 'assigned';
  return current && task.orderToken >= report.fencingToken;
}
