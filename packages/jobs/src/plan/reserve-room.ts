import { memo } from '@basilcourse/foundation/util/memo';

import { MinionUsage } from '../state/minion-usage.js';
import type { TaskEntry } from '../state/task-entry.js';
import { CandidateMinion } from './candidate-minion.js';
import { findTaskObstacle } from './find-task-obstacle.js';
import type { PassedOver } from './passed-over.js';
import type { Reservation } from './reservation.js';

/**
 * Reserves room for tasks that fit nowhere now, so that what becomes free is not
 * taken by smaller ones: on the minions where it was reserved before, otherwise on
 * those that lack least, among the ones that have the room once their runs have
 * ended. So the wait is at most that for the last of these runs.
 *
 * @returns `undefined` if the tasks do not fit on the minions even then.
 */
export function reserveRoom(
  unit: PassedOver,
  candidates: readonly CandidateMinion[],
  kept: Reservation | undefined,
): Reservation | undefined {
  const keptCandidates = candidates.filter(
    ({ minion }) => kept?.incarnations.includes(minion.incarnation) === true,
  );
  const chosen =
    chooseMinions(unit, keptCandidates) ?? chooseMinions(unit, candidates);
  unit.tasks.forEach((task, index) => chosen?.[index]?.place(task));
  return (
    chosen && {
      task: unit.tasks[0]?.name ?? '',
      incarnations: chosen.map(({ minion }) => minion.incarnation),
    }
  );
}

/** Returns a minion for each task; `undefined` if there is none for one of them. */
function chooseMinions(
  { job, tasks }: PassedOver,
  candidates: readonly CandidateMinion[],
): readonly CandidateMinion[] | undefined {
  const conditions = { service: job.queue.service, mayOvercommit: true };
  const emptied = new Map<CandidateMinion, CandidateMinion>();
  const canHave = (task: TaskEntry, candidate: CandidateMinion): boolean =>
    hasCapacity(task, candidate) &&
    findTaskObstacle(task, conditions, candidate) !== 'step limit' &&
    findTaskObstacle(
      task,
      conditions,
      memo(emptied, candidate, () => emptiedOf(candidate)),
    ) === undefined;
  const chosen: CandidateMinion[] = [];
  for (const task of tasks) {
    const candidate = lackingLeast(
      task,
      candidates.filter(other => canHave(task, other)),
    );
    if (candidate === undefined) {
      return undefined;
    }
    emptied.get(candidate)?.place(task);
    chosen.push(candidate);
  }
  return chosen;
}

function hasCapacity(
  { demand }: TaskEntry,
  { minion }: CandidateMinion,
): boolean {
  const capacity = minion.description?.capacity;
  return (
    demand.processorMillicores <= (capacity?.processorMillicores ?? 0) &&
    demand.memoryMegabytes <= (capacity?.memoryMegabytes ?? 0)
  );
}

/** Returns a minion as it is once its runs that end by themselves have ended. */
function emptiedOf({ minion }: CandidateMinion): CandidateMinion {
  const usage = new MinionUsage();
  for (const { task } of minion.runs.values()) {
    if (task.specification.longRunning) {
      usage.add(task);
    }
  }
  return new CandidateMinion(minion, usage);
}

function lackingLeast(
  task: TaskEntry,
  candidates: readonly CandidateMinion[],
): CandidateMinion | undefined {
  let best: CandidateMinion | undefined;
  let least = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const lacks = lackOf(task, candidate);
    if (lacks < least) {
      best = candidate;
      least = lacks;
    }
  }
  return best;
}

/** Returns the largest share of a minion's resources that it lacks for a task. */
function lackOf({ demand }: TaskEntry, candidate: CandidateMinion): number {
  const capacity = candidate.minion.description?.capacity;
  const lacks: readonly (readonly [number, number, number | undefined])[] = [
    [
      demand.processorMillicores,
      candidate.processorMillicores,
      capacity?.processorMillicores,
    ],
    [
      demand.memoryMegabytes,
      candidate.memoryMegabytes,
      capacity?.memoryMegabytes,
    ],
    [demand.accelerators, candidate.accelerators, capacity?.accelerators],
  ];
  return Math.max(
    ...lacks.map(
      ([need, free, total]) => (need - free) / Math.max(1, total ?? 1),
    ),
  );
}
