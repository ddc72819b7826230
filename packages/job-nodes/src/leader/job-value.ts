import type { JobRecord } from '@basilcourse/jobs/records/job-record';

import type { StoredValue } from '../store/stored-value.js';
import { jobKey } from './job-key.js';

/** Returns the value to store for an accepted job. */
export function jobValue(record: JobRecord): StoredValue {
  const { specification, queue, acceptedAt } = record;
  return {
    key: jobKey(specification.identifier),
    value: JSON.stringify({ specification, queue, acceptedAt }),
  };
}
