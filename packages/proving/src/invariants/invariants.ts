import type { StateFold } from '@basilcourse/shared-state/fold/state-fold';
import { fits } from '@basilcourse/shared-state/resources/fits';
import { stateDigest } from '@basilcourse/shared-state/snapshot/state-digest';

import type { SimulationRun } from '../simulation/simulation-run.js';

/** Returns a description of the violation; empty if the invariant holds. */
export type Invariant = (run: SimulationRun, fold: StateFold) => string;

function firstViolation(run: SimulationRun, kind: string): string {
  return run.recorder.violations.find(found => found.kind === kind)?.text ?? '';
}

function overassignedWorker(fold: StateFold): string {
  for (const worker of fold.scheduling.workers.values()) {
    const { worker: name, resources } = worker.description;
    if (!fits(worker.assigned, resources)) {
      return `${name} is assigned ${JSON.stringify(worker.assigned)}`;
    }
  }
  return '';
}

function runningFinishedTask(run: SimulationRun, fold: StateFold): string {
  for (const { name, runner } of run.workers) {
    for (const { command } of runner.tasks) {
      if (fold.scheduling.tasks.get(command.task)?.finished === true) {
        return `${command.attempt} runs on ${name} after its task finished`;
      }
    }
  }
  return '';
}

function divergedState(run: SimulationRun): string {
  const digests = new Map<number, string>();
  for (const { name, state } of run.processes) {
    const { next } = state.fold;
    const digest = stateDigest(state.fold);
    const expected = digests.get(next) ?? digest;
    if (expected !== digest) {
      return `${name} differs from another process at offset ${next}`;
    }
    digests.set(next, digest);
  }
  return '';
}

function duplicateActiveAttempt(fold: StateFold): string {
  const tasks = new Set<string>();
  for (const attempt of fold.scheduling.attempts.values()) {
    if (tasks.has(attempt.task)) {
      return `${attempt.task} has two active attempts`;
    }
    tasks.add(attempt.task);
  }
  return '';
}

/** Invariants of the scheduler that must hold at all times, by name. */
export const invariants: Readonly<Record<string, Invariant>> = {
  'no-worker-over-its-size': run => firstViolation(run, 'overcommitted'),
  'no-worker-assigned-over-its-size': (_run, fold) => overassignedWorker(fold),
  'no-task-in-two-places': run => firstViolation(run, 'doubled'),
  'one-active-attempt': (_run, fold) => duplicateActiveAttempt(fold),
  'finished-work-does-not-run': runningFinishedTask,
  'same-offset-same-state': divergedState,
};
