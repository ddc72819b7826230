import { encodeChanges } from '@basilcourse/jobs/records/encode-changes';
import type { JobRecord } from '@basilcourse/jobs/records/job-record';
import type { RecordLayout } from '@basilcourse/jobs/records/record-layout';
import type { JobEntry } from '@basilcourse/jobs/state/job-entry';
import type { JobTable } from '@basilcourse/jobs/state/job-table';
import type { TaskEntry } from '@basilcourse/jobs/state/task-entry';

import type { StoredValue } from '../store/stored-value.js';
import { jobKey } from './job-key.js';
import { jobValue } from './job-value.js';
import { progressKey } from './progress-key.js';

/** Changes of jobs that are not stored yet. */
export class PendingChanges {
  private readonly table: JobTable;

  private readonly layout: RecordLayout;

  private readonly newJobs: JobRecord[] = [];

  private readonly removedKeys: string[] = [];

  private readonly obsoleteKeys: string[] = [];

  /** Main records as they were last collected, of jobs with several records. */
  private readonly mainRecords = new WeakMap<JobEntry, string>();

  public constructor(table: JobTable, layout: RecordLayout) {
    this.table = table;
    this.layout = layout;
  }

  /** Adds an accepted job. */
  public add(record: JobRecord): void {
    this.newJobs.push(record);
  }

  /** Removes keys, once all changes so far are stored. */
  public removeKeys(keys: readonly string[]): void {
    this.obsoleteKeys.push(...keys);
  }

  /**
   * Removes the records of a job. That of the job goes first: without it, the
   * others are removed by the next leader. All go before new values, as a job may
   * be handed in again under its identifier.
   */
  public removeJob(job: JobEntry): void {
    const { identifier } = job.specification;
    const changed = this.table.changed.get(identifier) ?? [];
    const parts = new Set(
      [...job.tasks(), ...changed].map(task => this.layout.partOf(job, task)),
    );
    this.table.changed.delete(identifier);
    this.removedKeys.push(
      jobKey(identifier),
      ...[...parts.add('')].map(part => progressKey(identifier, part)),
    );
  }

  /** Returns the values to store, in order, and clears the changes. */
  public collect(): readonly StoredValue[] {
    const values: StoredValue[] = this.removedKeys.splice(0).map(toRemoval);
    values.push(...this.newJobs.splice(0).map(jobValue));
    for (const [identifier, tasks] of this.table.changed) {
      const job = this.table.jobs.get(identifier);
      if (job !== undefined) {
        values.push(...this.progressValues(job, tasks));
      }
    }
    this.table.changed.clear();
    values.push(...this.obsoleteKeys.splice(0).map(toRemoval));
    return values;
  }

  private progressValues(
    job: JobEntry,
    tasks: ReadonlySet<TaskEntry>,
  ): readonly StoredValue[] {
    const { identifier } = job.specification;
    const encoded = encodeChanges(job, tasks, this.layout);
    const values: StoredValue[] = encoded.parts.map(([part, rows]) => ({
      key: progressKey(identifier, part),
      value: JSON.stringify(rows),
    }));
    const main = JSON.stringify(encoded.main);
    if (main !== this.mainRecords.get(job)) {
      values.push({ key: progressKey(identifier), value: main });
    }
    if (!this.layout.isInMainRecord(job.specification)) {
      this.mainRecords.set(job, main);
    }
    for (const part of encoded.obsoleteParts) {
      values.push(toRemoval(progressKey(identifier, part)));
    }
    return values;
  }
}

function toRemoval(key: string): StoredValue {
  return { key, value: undefined };
}
