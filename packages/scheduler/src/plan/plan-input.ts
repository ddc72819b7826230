import type { Configuration } from '@basilcourse/shared-state/configuration/configuration';
import type { WorkerDescription } from '@basilcourse/shared-state/records/worker-description';
import type { Scheduling } from '@basilcourse/shared-state/scheduling/scheduling';

import type { GrantedLeases } from '../cell/granted-leases.js';
import type { WorkerView } from '../cell/worker-view.js';
import type { WorkloadEstimator } from '../learning/workload-estimator.js';
import type { ScorerName } from '../placement/scorers.js';

/** Input of one plan pass for a cell. */
export interface PlanInput {
  readonly cell: string;
  readonly configuration: Configuration;
  readonly scheduling: Scheduling;
  readonly views: ReadonlyMap<string, WorkerView>;
  readonly leases: GrantedLeases;
  readonly estimator: WorkloadEstimator;
  /** Workers announced by the agents that run on them. */
  readonly announced: readonly WorkerDescription[];
  readonly scorer: ScorerName;
}
