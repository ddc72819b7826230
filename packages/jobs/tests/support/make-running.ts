import type { RunningTask } from '../../src/model/running-task.js';

/** Returns a run as a report lists it. */
export function makeRunning(task: string, run: number): RunningTask {
  return { task, run, checkpoint: '', percent: 5, gauge: 0 };
}
