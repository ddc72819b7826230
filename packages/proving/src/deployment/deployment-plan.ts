import type { UpstreamBehaviour } from '@basilcourse/platform-stand-in/upstream/upstream-behaviour';
import type { TaskBehaviour } from '@basilcourse/platform-stand-in/worker/task-behaviour';
import type { RoutingPolicyName } from '@basilcourse/request-plane/routing/routing-policies';
import type { Resources } from '@basilcourse/shared-state/records/resources';

/** Layout and behaviour of a deployment that runs in one process. */
export interface DeploymentPlan {
  readonly seed: number;
  /** Availability zones with their regions; nodes are assigned in turn. */
  readonly zones: readonly {
    readonly region: string;
    readonly zone: string;
  }[];
  readonly entries: number;
  readonly workers: number;
  readonly workersPerRack: number;
  readonly workerSize: Resources;
  readonly routing: RoutingPolicyName;
  readonly taskBehaviour: TaskBehaviour;
  readonly upstreamBehaviour: (attempt: string) => UpstreamBehaviour;
}
