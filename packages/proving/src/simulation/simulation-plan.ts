import type { LogFaults } from '@basilcourse/platform-stand-in/log/log-faults';
import type { TaskBehaviour } from '@basilcourse/platform-stand-in/worker/task-behaviour';
import type { ScorerName } from '@basilcourse/scheduler/placement/scorers';
import type { Resources } from '@basilcourse/shared-state/records/resources';

/** Size and behaviour of a simulation run. */
export interface SimulationPlan {
  readonly seed: number;
  readonly processes: number;
  readonly workers: number;
  readonly workersPerRack: number;
  readonly zones: readonly string[];
  readonly workerSize: Resources;
  readonly behaviour: TaskBehaviour;
  readonly placement: ScorerName;
  /** Whether batch tasks that interfere with services start throttled. */
  readonly throttlesAtStart: boolean;
  readonly logFaults: Partial<LogFaults>;
}
