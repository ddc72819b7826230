import type { JobSpecification } from '../model/job-specification.js';
import type { JobEntry } from '../state/job-entry.js';
import { chainMilliseconds } from './chain-milliseconds.js';

/** How soon the tasks of a job have to start. */
export interface Urgency {
  /** By the estimates, the latest start has passed. */
  readonly late: boolean;
  readonly priority: number;
  /** Latest start of the remaining steps for the job to be on time. */
  readonly latestStart: number;
}

/** Chains of the steps of a job, which stay as they are. */
const chainsOfJobs = new WeakMap<JobSpecification, readonly number[]>();

function chainsOf(specification: JobSpecification): readonly number[] {
  const known = chainsOfJobs.get(specification);
  if (known !== undefined) {
    return known;
  }
  const chains = chainMilliseconds(specification.steps);
  chainsOfJobs.set(specification, chains);
  return chains;
}

/** Returns the urgency of a job by its time objective and its estimates. */
export function urgencyOf(job: JobEntry, now: number): Urgency {
  const { queue, specification } = job;
  const chains = chainsOf(specification);
  const longestChain = Math.max(0, ...chains);
  const remaining = remainingChain(job, chains);
  const dueAt =
    startOf(job) +
    queue.slackFactor * longestChain +
    queue.targetLatencyMilliseconds;
  const latestStart = dueAt - remaining;
  return { late: now > latestStart, priority: queue.priority, latestStart };
}

function startOf(job: JobEntry): number {
  const { specification } = job;
  if (specification.repetitions === 0) {
    return job.acceptedAt;
  }
  const newest = Math.max(0, ...job.occurrences.keys());
  return specification.firstDueAt + newest * specification.intervalMilliseconds;
}

function remainingChain(job: JobEntry, chains: readonly number[]): number {
  let longest = 0;
  for (const occurrence of job.occurrences.keys()) {
    job.talliesOf(occurrence).forEach((tally, number) => {
      if (!tally.allDone) {
        longest = Math.max(longest, chains[number] ?? 0);
      }
    });
  }
  return longest;
}

/** Orders jobs that are not late first, then by priority and latest start. */
export function compareUrgency(first: Urgency, second: Urgency): number {
  return (
    Number(first.late) - Number(second.late) ||
    first.priority - second.priority ||
    first.latestStart - second.latestStart
  );
}
