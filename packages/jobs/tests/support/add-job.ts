import type { QueueSettings } from '../../src/model/queue-settings.js';
import type { StepSpecification } from '../../src/model/step-specification.js';
import type { JobEntry } from '../../src/state/job-entry.js';
import type { JobTable } from '../../src/state/job-table.js';

/** Settings of the queue of test jobs. */
export const QUEUE_SETTINGS: QueueSettings = {
  name: 'queue',
  service: 'service',
  priority: 0,
  maximumAttempts: 2,
  slackFactor: 2,
  targetLatencyMilliseconds: 500,
};

/** Adds a job to a table. */
export function addJob(
  table: JobTable,
  identifier: string,
  steps: readonly StepSpecification[],
  queue: Partial<QueueSettings> = {},
  acceptedAt = 0,
): JobEntry {
  return table.add(
    {
      identifier,
      queue: 'queue',
      payload: '',
      steps,
      repetitions: 0,
      firstDueAt: 0,
      intervalMilliseconds: 0,
    },
    { ...QUEUE_SETTINGS, ...queue },
    acceptedAt,
  );
}
