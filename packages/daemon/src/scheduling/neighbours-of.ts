import type { Neighbour } from '@basilcourse/scheduler/learning/neighbour';
import type { TaskReport } from '@basilcourse/scheduler/platform/task-report';
import { taskKindOf } from '@basilcourse/shared-state/configuration/task-kind-of';
import type { StateFold } from '@basilcourse/shared-state/fold/state-fold';

/** Task kind and processor share of each running attempt on a worker. */
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
