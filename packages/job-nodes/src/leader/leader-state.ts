import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import type { QueueSettings } from '@basilcourse/jobs/model/queue-settings';
import type { PlannedStart } from '@basilcourse/jobs/plan/planned-start';
import type { JobRecord } from '@basilcourse/jobs/records/job-record';
import { RecordLayout } from '@basilcourse/jobs/records/record-layout';
import type { JobEntry } from '@basilcourse/jobs/state/job-entry';
import { JobTable } from '@basilcourse/jobs/state/job-table';

import type { QueueConfiguration } from '../configuration/queue-configuration.js';
import type { StoreLimits } from '../store/store-limits.js';
import type { StoredValue } from '../store/stored-value.js';
import { AgentSessions } from './agent-sessions.js';
import { encodeEstimates } from './encode-estimates.js';
import { InterferenceWatch } from './interference-watch.js';
import { PendingChanges } from './pending-changes.js';
import { ESTIMATES_KEY } from './record-keys.js';
import { splitRecordKey } from './split-record-key.js';

/** Number of fencing tokens that one epoch can issue. */
const TOKENS_PER_EPOCH = 1_000_000;

/** Time for which ended jobs are kept. */
const ENDED_JOB_RETENTION_MILLISECONDS = 150_000;

/** The leader's state, and the changes to it that are not stored yet. */
export class LeaderState {
  public readonly table = new JobTable();

  public readonly interference = new InterferenceWatch();

  public readonly sessions = new AgentSessions(this.table);

  /** How the progress of jobs is distributed over records. */
  public readonly layout: RecordLayout;

  /** Changes of jobs that `collect` has not returned yet. */
  public readonly changes: PendingChanges;

  private readonly limits: StoreLimits;

  private readonly epoch: number;

  private queues: ReadonlyMap<string, QueueSettings> = new Map();

  private issuedTokens = 0;

  private readonly logger: PartLogger;

  public constructor(epoch: number, limits: StoreLimits, logger: PartLogger) {
    this.epoch = epoch;
    this.limits = limits;
    this.logger = logger;
    this.layout = new RecordLayout(limits.recordBytes);
    this.changes = new PendingChanges(this.table, this.layout);
  }

  /** Returns a token that is higher than all earlier ones, across epochs. */
  public nextFencingToken(): number {
    this.issuedTokens += 1;
    return this.epoch * TOKENS_PER_EPOCH + this.issuedTokens;
  }

  /** Applies a newer configuration. */
  public configure(configuration: QueueConfiguration): void {
    this.queues = new Map(
      configuration.queues.map(({ settings }) => [settings.name, settings]),
    );
    this.configureJobs();
  }

  /** Applies the settings of queues to their jobs, where the queue exists. */
  public configureJobs(): void {
    for (const job of this.table.jobs.values()) {
      job.queue = this.queues.get(job.specification.queue) ?? job.queue;
    }
  }

  /** Adds an accepted job, which the next call of `collect` returns. */
  public accept(record: JobRecord): void {
    const { specification, queue, acceptedAt } = record;
    this.table.add(specification, queue, acceptedAt);
    this.changes.add(record);
  }

  /** Returns the values to store, in order, and clears the recorded changes. */
  public collect(now: number): readonly StoredValue[] {
    return [...this.estimatesValue(now), ...this.changes.collect()];
  }

  /**
   * Handles a value that cannot be stored. A job whose record it is was never
   * accepted; one whose progress it is cannot be run once for certain, and fails.
   */
  public handleUnstorable(key: string, now: number): void {
    const parts = splitRecordKey(key);
    const job = parts && this.table.jobs.get(parts.identifier);
    if (job === undefined) {
      return;
    }
    if (parts?.kind === 'job') {
      this.withdraw(job);
    } else if (job.storesRows) {
      job.storesRows = false;
      if (job.ended === undefined) {
        job.end('failed', now);
      }
      this.table.markJobChanged(job);
    }
  }

  /** Assigns tasks to their planned minions; a gang shares a run number. */
  public assign(starts: readonly PlannedStart[], now: number): void {
    const gangRuns = new Map<string, number>();
    for (const { task } of starts) {
      if (task.specification.gang) {
        const key = `${task.jobIdentifier}.${task.occurrence}.${task.step}`;
        gangRuns.set(key, Math.max(gangRuns.get(key) ?? 0, task.run));
      }
    }
    for (const { task, minion } of starts) {
      const key = `${task.jobIdentifier}.${task.occurrence}.${task.step}`;
      const run = (gangRuns.get(key) ?? task.run) + 1;
      task.assign(minion.incarnation, run, minion.fencingToken, now);
      minion.addRun(task, run);
      this.table.markChanged(task);
    }
  }

  /** Drops ended jobs whose retention time has passed. */
  public dropExpiredJobs(now: number): void {
    for (const job of this.table.jobs.values()) {
      if (
        job.ended !== undefined &&
        now - job.endedAt > ENDED_JOB_RETENTION_MILLISECONDS
      ) {
        this.changes.removeJob(job);
        this.table.remove(job);
      }
    }
  }

  private estimatesValue(now: number): readonly StoredValue[] {
    const estimates = this.interference.estimatesToStore(now);
    if (estimates === undefined) {
      return [];
    }
    const maximumBytes = this.limits.recordBytes - ESTIMATES_KEY.length;
    const { text, leftOut } = encodeEstimates(estimates, maximumBytes);
    if (leftOut > 0) {
      this.logger.warn('Estimates that fit no record are not stored.', {
        leftOut,
        maximumBytes,
      });
    }
    return [{ key: ESTIMATES_KEY, value: text }];
  }

  /** Removes a job that was not accepted; none of its starts has left. */
  private withdraw(job: JobEntry): void {
    for (const task of job.tasks()) {
      this.table.minions.get(task.incarnation)?.removeRun(task.name, task.run);
    }
    this.changes.removeJob(job);
    this.table.remove(job);
  }
}
