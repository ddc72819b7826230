import type { UsageSample } from '../platform/usage-sample.js';
import type { WorkerReport } from '../platform/worker-report.js';
import type { WorkerView } from './worker-view.js';

function sumOver(
  samples: readonly UsageSample[],
  valueOf: (sample: UsageSample) => number,
): number {
  return samples.reduce((sum, sample) => sum + valueOf(sample), 0);
}

/** Returns the view of a worker updated with its report. */
export function viewAfterReport(
  view: WorkerView,
  report: WorkerReport,
  now: number,
): WorkerView {
  const running = new Set(
    report.tasks
      .filter(({ state }) => state === 'running')
      .map(({ attempt }) => attempt),
  );
  // Samples arrive with a delay; some belong to tasks that have already ended.
  const samples = report.usage.filter(({ attempt }) => running.has(attempt));
  return {
    worker: view.worker,
    answeredAt: now,
    failingSince: 0,
    tasks: new Map(report.tasks.map(task => [task.attempt, task])),
    usedMemoryGigabytes: sumOver(samples, sample => sample.memoryGigabytes),
    usedProcessors: sumOver(samples, sample => sample.processors),
  };
}

/** Returns the view of a worker updated with a failed call. */
export function viewAfterFailure(view: WorkerView, now: number): WorkerView {
  const failingSince = view.failingSince === 0 ? now : view.failingSince;
  return { ...view, failingSince };
}
