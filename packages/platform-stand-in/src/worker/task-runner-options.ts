import type { Clock } from '@basilcourse/foundation/clock/clock';
import type { RandomSource } from '@basilcourse/foundation/random/random-source';
import type { WorkerDescription } from '@basilcourse/shared-state/records/worker-description';

import type { ExecutionRecorder } from './execution-recorder.js';
import type { TaskBehaviour } from './task-behaviour.js';
import type { TaskHooks } from './task-hooks.js';

/** Dependencies of the task runner of a worker stand-in. */
export interface TaskRunnerOptions {
  readonly description: WorkerDescription;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly recorder: ExecutionRecorder;
  readonly behaviour: TaskBehaviour;
  readonly hooks?: TaskHooks;
}
