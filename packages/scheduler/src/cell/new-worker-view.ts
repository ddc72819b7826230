import type { WorkerView } from './worker-view.js';

/** Creates the view of a worker that has not answered yet. */
export function newWorkerView(worker: string): WorkerView {
  return {
    worker,
    answeredAt: 0,
    failingSince: 0,
    tasks: new Map(),
    usedMemoryGigabytes: 0,
    usedProcessors: 0,
  };
}
