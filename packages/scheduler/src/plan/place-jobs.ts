import type { BatchJob } from '@basilcourse/shared-state/release-note/batch-job';
import { fits } from '@basilcourse/shared-state/resources/fits';
import { subtract } from '@basilcourse/shared-state/resources/subtract';
import type { Attempt } from '@basilcourse/shared-state/scheduling/attempt';
import type { TaskProgress } from '@basilcourse/shared-state/scheduling/task-progress';

import type { PlacementRequest } from '../placement/placement-request.js';
import {
  earliestRetryTime,
  UNPLACEABLE_FAILURE_COUNT,
} from '../repair/retry-delay.js';
import type { PlanPass } from './plan-pass.js';
import { preemptBatch } from './preempt-batch.js';
import { TeamShares } from './team-shares.js';
import type { WaitingJob } from './waiting-job.js';
import { waitingJobs } from './waiting-jobs.js';

/** Number of workers on which a job must fail to be reported as unplaceable. */
const MINIMUM_FAILED_WORKERS = 3;

/** Number of unplaced jobs after which a pass stops placing jobs. */
const MAXIMUM_UNPLACED_JOBS = 20;

/**
 * Time that a job waits for resources before it is forwarded to another cell.
 */
const FORWARD_DELAY_MILLISECONDS = 2000;

function requestFor(pass: PlanPass, waiting: WaitingJob): PlacementRequest {
  const { job, task, progress } = waiting;
  const { usage } = pass.input.estimator;
  return {
    task,
    taskKind: job.taskKind,
    role: 'job',
    resources: usage.resourcesFor(job.taskKind, job.resources),
    urgent: job.urgent,
    failedOn: progress?.failedOn ?? [],
  };
}

function unplaceableReason(
  progress: TaskProgress | undefined,
  workers: number,
): string | undefined {
  const failures = progress?.failures ?? 0;
  const failedWorkers = new Set(progress?.failedOn ?? []).size;
  const requiredWorkers = Math.min(MINIMUM_FAILED_WORKERS, workers);
  return failures >= UNPLACEABLE_FAILURE_COUNT &&
    failedWorkers >= requiredWorkers
    ? `failed ${failures} times on ${failedWorkers} workers: ${progress?.lastReason ?? ''}`
    : undefined;
}

function findOtherCell(
  pass: PlanPass,
  request: PlacementRequest,
  mustFitNow: boolean,
): string | undefined {
  const { scheduling, configuration, cell } = pass.input;
  for (const worker of scheduling.workers.values()) {
    const { resources, worker: name } = worker.description;
    const available = mustFitNow
      ? subtract(resources, worker.assigned)
      : resources;
    const acceptsTasks =
      worker.condition === 'ready' && !configuration.drained.has(name);
    if (
      worker.cell !== cell &&
      acceptsTasks &&
      fits(request.resources, available)
    ) {
      return worker.cell;
    }
  }
  return undefined;
}

function fitsInThisCell(pass: PlanPass, request: PlacementRequest): boolean {
  const { scheduling, cell } = pass.input;
  for (const worker of scheduling.workers.values()) {
    if (
      worker.cell === cell &&
      fits(request.resources, worker.description.resources)
    ) {
      return true;
    }
  }
  return false;
}

function reportUnplaceable(
  pass: PlanPass,
  waiting: WaitingJob,
  reason: string,
): void {
  if ((waiting.progress?.unplaceable ?? '') === '') {
    pass.decide({ type: 'report-unplaceable', task: waiting.task, reason });
  }
}

function forwardOrReport(
  pass: PlanPass,
  waiting: WaitingJob,
  request: PlacementRequest,
): void {
  const fitsHere = fitsInThisCell(pass, request);
  const forwardAt = waiting.readyAt + FORWARD_DELAY_MILLISECONDS;
  if (fitsHere && pass.now < forwardAt) {
    return;
  }
  const cell = findOtherCell(pass, request, fitsHere);
  if (cell !== undefined) {
    pass.decide({ type: 'forward', task: waiting.task, cell });
  } else if (!fitsHere && pass.input.scheduling.workers.size > 0) {
    reportUnplaceable(pass, waiting, 'larger than every worker');
  }
}

function preemptionFilter(
  job: BatchJob,
  shares: TeamShares,
): ((attempt: Attempt) => boolean) | undefined {
  if (job.urgent) {
    return () => true;
  }
  return shares.isWithinQuota(job.team, job.resources)
    ? attempt => shares.isBorrowing(attempt)
    : undefined;
}

function placeJob(
  pass: PlanPass,
  waiting: WaitingJob,
  shares: TeamShares,
): boolean {
  const request = requestFor(pass, waiting);
  const choice = pass.choose(request);
  if (choice !== undefined) {
    shares.addUsage(waiting.job.team, request.resources);
    pass.place(request, choice);
    return true;
  }
  const mayEvict = preemptionFilter(waiting.job, shares);
  const reason = `room for job ${waiting.job.name}`;
  if (
    mayEvict === undefined ||
    !preemptBatch(pass, request, reason, mayEvict)
  ) {
    forwardOrReport(pass, waiting, request);
  }
  return false;
}

/** Places waiting jobs: urgent ones first, then by fair share. */
export function placeJobs(pass: PlanPass): void {
  const { scheduling } = pass.input;
  const allWaiting = waitingJobs(pass.input);
  if (allWaiting.length === 0) {
    return;
  }
  const shares = new TeamShares(pass.input);
  let unplacedJobs = 0;
  for (const waiting of shares.inPlacementOrder(allWaiting)) {
    const failureReason = unplaceableReason(
      waiting.progress,
      scheduling.workers.size,
    );
    if (failureReason !== undefined) {
      // Retries continue at the maximum delay, because the workers may recover.
      reportUnplaceable(pass, waiting, failureReason);
    }
    const tooEarly =
      waiting.progress !== undefined &&
      pass.now < earliestRetryTime(waiting.progress);
    if (tooEarly) {
      continue;
    }
    unplacedJobs += placeJob(pass, waiting, shares) ? 0 : 1;
    if (pass.isFull || unplacedJobs >= MAXIMUM_UNPLACED_JOBS) {
      return;
    }
  }
}
