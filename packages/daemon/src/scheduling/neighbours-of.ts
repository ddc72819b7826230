import type { Neighbour } from '@basilcourse/scheduler/learning/neighbour';
import type { TaskReport } from '@basilcourse/scheduler/platform/task-report';
import { taskKindOf } from '@basilcourse/shared-state/configuration/task-kind-of';
import type { StateFold } from '@basilcourse/shared-state/fold/state-fold';

/** Kinds and shares of the running tasks of a worker, by attempt. */
export function neighboursOf(
  {
    configuration,
    scheduling,
  }: Pick<StateFold, 'configuration' | 'scheduling'>,
  running: readonly TaskReport[],
): ReadonlyMap<string, Neighbour> {
  return new Map(
    running.map(({ attempt, throttle }) => {
      const task = scheduling.attempts.get(attempt)?.task ?? '';
      const taskKind = taskKindOf(configuration, task);
      return [attempt, { taskKind, share: throttle }];
    }),
  );
}
