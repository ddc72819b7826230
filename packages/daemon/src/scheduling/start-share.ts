import type { WorkloadEstimator } from '@basilcourse/scheduler/learning/workload-estimator';
import { initialShare } from '@basilcourse/scheduler/placement/interference-budget';
import { taskKindOf } from '@basilcourse/shared-state/configuration/task-kind-of';
import type { StateFold } from '@basilcourse/shared-state/fold/state-fold';

/** Share of its processors with which an attempt starts on a worker. */
export function startShare(
  {
    configuration,
    scheduling,
  }: Pick<StateFold, 'configuration' | 'scheduling'>,
  estimator: WorkloadEstimator,
  worker: string,
  attempt: string,
  taskKind: string,
): number {
  const neighbours = new Map<string, number>();
  for (const { id, task } of scheduling.attemptsOn(worker)) {
    const kind = taskKindOf(configuration, task);
    if (id !== attempt) {
      neighbours.set(kind, (neighbours.get(kind) ?? 0) + 1);
    }
  }
  const services = [...configuration.services.values()];
  const context = {
    interference: estimator.interference,
    serviceKinds: new Set(services.map(service => service.taskKind)),
    latencyWeight: configuration.limits.latencyWeight,
  };
  return initialShare(context, neighbours, taskKind);
}
