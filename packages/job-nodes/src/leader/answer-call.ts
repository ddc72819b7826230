import type { JobStatus } from '@basilcourse/jobs/model/job-status';
import type { JobEntry } from '@basilcourse/jobs/state/job-entry';

import type { StoreLimits } from '../store/store-limits.js';
import { checkJobSize } from './check-job-size.js';
import type { JobAnswer } from './job-answer.js';
import type { JobCall } from './job-call.js';
import type { LeaderState } from './leader-state.js';

const RETRY_AFTER_SECONDS = 1;

const UNKNOWN: JobAnswer = { kind: 'unknown' };

/** State and time that an answer is based on. */
export interface AnswerContext {
  readonly state: LeaderState;
  readonly now: number;
  readonly limits: StoreLimits;
  /** The store has not answered an append before the timeout. */
  readonly storeUnresponsive: boolean;
  readonly afterStored: (action: (stored: boolean) => void) => void;
}

type SubmitCall = Extract<JobCall, { readonly kind: 'submit' }>;

type StatusCall = Extract<JobCall, { readonly kind: 'status' }>;

type CancelCall = Extract<JobCall, { readonly kind: 'cancel' }>;

/** Answers an entry's call once the state that the answer reports is stored. */
export async function answerCall(
  call: JobCall,
  context: AnswerContext,
): Promise<JobAnswer> {
  switch (call.kind) {
    case 'submit':
      return submit(call, context);
    case 'status':
      return status(call, context);
    case 'cancel':
      return cancel(call, context);
    case 'pending':
      return pending(call.queue, context);
  }
}

async function submit(
  call: SubmitCall,
  context: AnswerContext,
): Promise<JobAnswer> {
  const { state, now, limits, storeUnresponsive: storeBlocked } = context;
  const { specification, queue } = call;
  const { identifier } = specification;
  if (!state.table.jobs.has(identifier)) {
    if (storeBlocked) {
      return refused('the store does not answer');
    }
    const problem = checkJobSize(specification, queue, limits);
    if (problem !== undefined) {
      return refused(problem);
    }
    state.accept({ specification, queue, acceptedAt: now });
  }
  if (!(await waitUntilStored(context))) {
    return UNKNOWN;
  }
  return state.table.jobs.has(identifier)
    ? { kind: 'accepted' }
    : refused('the store does not accept the record of the job');
}

function refused(reason: string): JobAnswer {
  return { kind: 'refused', reason, retryAfterSeconds: RETRY_AFTER_SECONDS };
}

function waitUntilStored(context: AnswerContext): Promise<boolean> {
  return new Promise(resolve => {
    context.afterStored(resolve);
  });
}

/** Returns whether a job's end is stored; it is reported only then. */
async function endIsStored(
  job: JobEntry,
  context: AnswerContext,
): Promise<boolean> {
  job.endStored ||= await waitUntilStored(context);
  return job.endStored;
}

function findJob(
  call: { readonly identifier: string; readonly queue: string },
  { state }: AnswerContext,
): JobEntry | undefined {
  const job = state.table.jobs.get(call.identifier);
  return job?.specification.queue === call.queue ? job : undefined;
}

async function status(
  call: StatusCall,
  context: AnswerContext,
): Promise<JobAnswer> {
  const job = findJob(call, context);
  if (job === undefined) {
    return { kind: 'no-such-job' };
  }
  const reportedStatus: JobStatus = job.status;
  const isConfirmed =
    job.ended === undefined || (await endIsStored(job, context));
  return isConfirmed ? { kind: 'status', status: reportedStatus } : UNKNOWN;
}

async function cancel(
  call: CancelCall,
  context: AnswerContext,
): Promise<JobAnswer> {
  const job = findJob(call, context);
  if (job === undefined) {
    return { kind: 'no-such-job' };
  }
  if (job.ended === undefined) {
    job.end('cancelled', context.now);
    context.state.table.markJobChanged(job);
  }
  return (await waitUntilStored(context)) ? { kind: 'cancelled' } : UNKNOWN;
}

function pending(queue: string, { state }: AnswerContext): JobAnswer {
  let count = 0;
  for (const job of state.table.jobs.values()) {
    const isPending = job.ended === undefined && !job.begun;
    if (isPending && job.specification.queue === queue) {
      count += 1;
    }
  }
  return { kind: 'pending', count };
}
