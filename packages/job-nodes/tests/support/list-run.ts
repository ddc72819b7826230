import type { RunningTask } from '@basilcourse/jobs/model/running-task';

import type { FakeRun } from './fake-run.js';

const FULL_PERCENT = 100;

/** Returns a run as a poll lists it. */
export function listRun({
  task,
  run,
  startedAt,
  endsAt,
}: FakeRun): RunningTask {
  const worked = (performance.now() - startedAt) / (endsAt - startedAt);
  const percent = Math.round(Math.min(1, worked) * FULL_PERCENT);
  return { task, run, checkpoint: '', percent, gauge: 0 };
}
