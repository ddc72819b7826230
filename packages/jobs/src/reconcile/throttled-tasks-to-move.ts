import { CandidateMinion } from '../plan/candidate-minion.js';
import type { InterferencePredictor } from '../plan/interference-predictor.js';
import { MinionChooser } from '../plan/minion-chooser.js';
import { acceptsStarts } from '../plan/plan-starts.js';
import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';

/** A task is moved once it has been throttled for this long. */
const THROTTLED_MILLISECONDS = 900;

/** Moves of one task; each costs a restart from its checkpoint. */
const MAXIMUM_MOVES = 3;

/** Stops ordered at once, as each frees room for those that follow. */
const MAXIMUM_MOVES_A_ROUND = 6;

/** Tasks looked at in a round, which bounds its processor time. */
const MAXIMUM_TASKS_A_ROUND = 12;

/** On its new minion a task may lose at most this share of its speed. */
const MAXIMUM_ENDANGERED_BOUNDS = 0.25;

/** Progress beyond which a task is left to end where it is. */
const MAXIMUM_PERCENT = 85;

/**
 * Returns throttled batch tasks that can go on elsewhere at nearly full speed, from
 * their checkpoints. Meant for serving loads that peak at different times on
 * different minions.
 */
export function throttledTasksToMove(
  table: JobTable,
  predictor: InterferencePredictor,
  now: number,
): readonly TaskEntry[] {
  const throttled = throttledTasks(table, now);
  if (throttled.length === 0) {
    return [];
  }
  const candidates = [...table.minions.values()]
    .filter(minion => acceptsStarts(minion, now))
    .map(minion => new CandidateMinion(minion));
  const moving: TaskEntry[] = [];
  for (const tasks of byStep(throttled)) {
    const queue = table.jobs.get(tasks[0].jobIdentifier)?.queue;
    const chooser = new MinionChooser(candidates, {
      service: queue?.service ?? '',
      taskCount: tasks.length,
      predictor,
      mayWait: true,
      mayOvercommit: false,
      maximumEndangeredBounds: MAXIMUM_ENDANGERED_BOUNDS,
    });
    for (const task of tasks) {
      const chosen = chooser.place(task, '');
      if (chosen === undefined || moving.length >= MAXIMUM_MOVES_A_ROUND) {
        break;
      }
      if (chosen.candidate.minion.incarnation !== task.incarnation) {
        moving.push(task);
      }
    }
  }
  return moving;
}

function byStep(
  tasks: readonly TaskEntry[],
): Iterable<readonly [TaskEntry, ...TaskEntry[]]> {
  const steps = new Map<string, [TaskEntry, ...TaskEntry[]]>();
  for (const task of tasks) {
    const step = steps.get(task.stepKey);
    if (step === undefined) {
      steps.set(task.stepKey, [task]);
    } else {
      step.push(task);
    }
  }
  return steps.values();
}

/** Returns the tasks that have been throttled for longest. */
function throttledTasks(table: JobTable, now: number): readonly TaskEntry[] {
  const throttled: TaskEntry[] = [];
  for (const minion of table.minions.values()) {
    if (!minion.connected) {
      continue;
    }
    for (const { task, run } of minion.runs.values()) {
      if (task.run === run && canMove(task, now)) {
        throttled.push(task);
      }
    }
  }
  return throttled
    .sort((first, second) => first.throttledSince - second.throttledSince)
    .slice(0, MAXIMUM_TASKS_A_ROUND);
}

function canMove(task: TaskEntry, now: number): boolean {
  return (
    task.phase === 'assigned' &&
    !task.stopping &&
    task.throttledSince > 0 &&
    now - task.throttledSince >= THROTTLED_MILLISECONDS &&
    task.specification.checkpointing &&
    task.moves < MAXIMUM_MOVES &&
    task.percent <= MAXIMUM_PERCENT
  );
}
