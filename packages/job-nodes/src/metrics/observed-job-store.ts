import type { JobStore } from '../store/job-store.js';
import type { TimeSource } from '../time/time-source.js';
import type { StepObserver } from './step-observer.js';
import { timed } from './timed.js';

/** Wraps a store so that the duration of its calls is observed. */
export function observedJobStore(
  store: JobStore,
  observe: StepObserver,
  time: TimeSource,
): JobStore {
  return {
    open: store.open,
    readAll: () => timed(observe, time, 'store-read', store.readAll),
    append: (epoch, sequence, values) =>
      timed(observe, time, 'store-append', () =>
        store.append(epoch, sequence, values),
      ),
  };
}
