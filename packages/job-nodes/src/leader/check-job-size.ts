import type { JobSpecification } from '@basilcourse/jobs/model/job-specification';
import type { QueueSettings } from '@basilcourse/jobs/model/queue-settings';

import { recordBytes } from '../store/record-bytes.js';
import type { StoreLimits } from '../store/store-limits.js';
import { jobValue } from './job-value.js';

/** A job in a call of an entry to the leader has at most this size. */
const MAXIMUM_CALL_BYTES = 1_000_000;

/** Returns why a job is too large to be accepted; undefined if it is not. */
export function checkJobSize(
  specification: JobSpecification,
  queue: QueueSettings,
  { recordBytes: storeBytes }: StoreLimits,
): string | undefined {
  const acceptedAt = Number.MAX_SAFE_INTEGER;
  const bytes = recordBytes(jobValue({ specification, queue, acceptedAt }));
  const maximumBytes = Math.min(storeBytes, MAXIMUM_CALL_BYTES);
  return bytes > maximumBytes
    ? `the record of the job has ${bytes} bytes, at most ${maximumBytes} can be stored`
    : undefined;
}
