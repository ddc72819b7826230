import { messageOf } from '@basilcourse/foundation/errors/message-of';
import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import { applyProgress } from '@basilcourse/jobs/records/apply-progress';
import type { JobRecord } from '@basilcourse/jobs/records/job-record';
import type { ProgressRecord } from '@basilcourse/jobs/records/progress-record';
import type { JobTable } from '@basilcourse/jobs/state/job-table';

import type { StoredValue } from '../store/stored-value.js';
import { JOB_KEY_PREFIX, PROGRESS_KEY_PREFIX } from './record-keys.js';

/** Loads the stored values into an empty table; skips unreadable records. */
export function loadTable(
  table: JobTable,
  values: readonly StoredValue[],
  now: number,
  logger: PartLogger,
): void {
  readEach(values, JOB_KEY_PREFIX, logger, (_, value) => {
    const record = JSON.parse(value) as JobRecord;
    table.add(record.specification, record.queue, record.acceptedAt);
  });
  readEach(values, PROGRESS_KEY_PREFIX, logger, (identifier, value) => {
    const job = table.jobs.get(identifier);
    if (job !== undefined) {
      applyProgress(table, job, JSON.parse(value) as ProgressRecord, now);
    }
  });
}

function readEach(
  values: readonly StoredValue[],
  prefix: string,
  logger: PartLogger,
  read: (identifier: string, value: string) => void,
): void {
  for (const { key, value } of values) {
    if (value === undefined || !key.startsWith(prefix)) {
      continue;
    }
    try {
      read(key.slice(prefix.length), value);
    } catch (error) {
      logger.error('A stored record could not be read.', {
        key,
        reason: messageOf(error),
      });
    }
  }
}
