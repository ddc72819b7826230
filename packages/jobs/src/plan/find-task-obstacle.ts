import type { TaskEntry } from '../state/task-entry.js';
import type { CandidateMinion } from './candidate-minion.js';
import type { Obstacle } from './obstacle.js';
import type { StepConditions } from './step-conditions.js';

type TaskConditions = Pick<StepConditions, 'service' | 'mayOvercommit'>;

type TaskCheck = (
  task: TaskEntry,
  candidate: CandidateMinion,
  conditions: TaskConditions,
) => boolean;

const CHECKS: readonly (readonly [Obstacle, TaskCheck])[] = [
  [
    'another service',
    (_task, { minion }, { service }) => minion.description?.service !== service,
  ],
  [
    'no label',
    ({ specification }, { minion }) => {
      const label = specification.requiredLabel;
      return (
        label !== '' && minion.description?.labels.includes(label) !== true
      );
    },
  ],
  [
    'step limit',
    (task, { usage }) => {
      const limit = task.specification.maximumPerMinion;
      return limit !== 0 && usage.countTasksOfStep(task) >= limit;
    },
  ],
  [
    'memory',
    ({ specification }, { memoryMegabytes }) =>
      specification.memoryMegabytes > memoryMegabytes,
  ],
  [
    'accelerators',
    ({ specification }, { accelerators }) =>
      specification.accelerators > accelerators,
  ],
  [
    'processor time',
    ({ specification }, { processorMillicores }) =>
      !specification.filling &&
      specification.processorMillicores > processorMillicores,
  ],
  [
    'idle processor time',
    ({ specification }, { idleMillicores }, { mayOvercommit }) =>
      specification.filling &&
      !mayOvercommit &&
      specification.processorMillicores > idleMillicores,
  ],
];

/**
 * Returns why a minion that accepts starts has no room for a task; undefined if it
 * has. A batch task starts only where all the processor time it requests is idle,
 * unless the conditions allow less.
 */
export function findTaskObstacle(
  task: TaskEntry,
  conditions: TaskConditions,
  candidate: CandidateMinion,
): Obstacle | undefined {
  return CHECKS.find(([, applies]) =>
    applies(task, candidate, conditions),
  )?.[0];
}
