import { messageOf } from '@basilcourse/foundation/errors/message-of';
import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import { applyProgress } from '@basilcourse/jobs/records/apply-progress';
import { applyRows } from '@basilcourse/jobs/records/apply-rows';
import type { JobRecord } from '@basilcourse/jobs/records/job-record';
import type { ProgressRecord } from '@basilcourse/jobs/records/progress-record';
import type { RecordLayout } from '@basilcourse/jobs/records/record-layout';
import type { TaskRows } from '@basilcourse/jobs/records/task-rows';
import type { JobEntry } from '@basilcourse/jobs/state/job-entry';
import type { JobTable } from '@basilcourse/jobs/state/job-table';

import type { StoredValue } from '../store/stored-value.js';
import type { RecordKeyParts } from './split-record-key.js';
import { splitRecordKey } from './split-record-key.js';

/** A record of a job that the store holds. */
interface StoredRecord extends RecordKeyParts {
  readonly key: string;
  readonly value: string;
}

/**
 * Loads the stored values into an empty table; skips unreadable records.
 *
 * Rows that the layout has in other records than they are in, since an earlier
 * version wrote them or the limits of the store have changed, are marked as
 * changed together with all others of their job.
 *
 * @returns The keys of records that are not needed once the changes are stored.
 */
export function loadTable(
  table: JobTable,
  layout: RecordLayout,
  values: readonly StoredValue[],
  now: number,
  logger: PartLogger,
): readonly string[] {
  const records = values.flatMap(toStoredRecord);
  const jobs = records.filter(({ kind }) => kind === 'job');
  const progress = records.filter(({ kind }) => kind === 'progress');
  readEach(jobs, logger, ({ value }) => {
    const record = JSON.parse(value) as JobRecord;
    table.add(record.specification, record.queue, record.acceptedAt);
  });
  const known = new Set(jobs.map(({ identifier }) => identifier));
  const isMain = ({ part }: StoredRecord): boolean => part === '';
  const obsolete = progress.filter(({ identifier }) => !known.has(identifier));
  readEach(progress.filter(isMain), logger, record => {
    const job = table.jobs.get(record.identifier);
    if (job !== undefined) {
      const main = JSON.parse(record.value) as ProgressRecord;
      const tasks = applyProgress(table, job, main, now);
      if (tasks.some(task => layout.partOf(job, task) !== '')) {
        markAllChanged(table, job);
      }
    }
  });
  const parts = progress.filter(record => !isMain(record));
  readEach(parts, logger, record => {
    const job = table.jobs.get(record.identifier);
    if (job !== undefined) {
      const rows = JSON.parse(record.value) as TaskRows;
      const tasks = applyRows(table, job, rows, now);
      if (tasks.some(task => layout.partOf(job, task) !== record.part)) {
        markAllChanged(table, job);
      }
      if (!tasks.some(task => layout.partOf(job, task) === record.part)) {
        obsolete.push(record);
      }
    }
  });
  endFinishedJobs(table, now);
  return obsolete.map(({ key }) => key);
}

function toStoredRecord({ key, value }: StoredValue): readonly StoredRecord[] {
  const parts = splitRecordKey(key);
  return parts === undefined || value === undefined
    ? []
    : [{ ...parts, key, value }];
}

function markAllChanged(table: JobTable, job: JobEntry): void {
  table.markJobChanged(job);
  for (const task of job.tasks()) {
    if (task.run > 0) {
      table.markChanged(task);
    }
  }
}

/** Ends jobs whose last tasks were stored, but not yet the end of the job. */
function endFinishedJobs(table: JobTable, now: number): void {
  for (const job of table.jobs.values()) {
    job.endIfFinished(now);
    if (job.ended !== undefined && !job.endStored) {
      table.markJobChanged(job);
    }
  }
}

function readEach(
  records: readonly StoredRecord[],
  logger: PartLogger,
  read: (record: StoredRecord) => void,
): void {
  for (const record of records) {
    try {
      read(record);
    } catch (error) {
      logger.error('A stored record could not be read.', {
        key: record.key,
        reason: messageOf(error),
      });
    }
  }
}
