import type { JobEntry } from '../state/job-entry.js';
import type { JobTable } from '../state/job-table.js';
import type { MinionEntry } from '../state/minion-entry.js';
import type { TaskEntry } from '../state/task-entry.js';
import { canWait } from './can-wait.js';
import { CandidateMinion } from './candidate-minion.js';
import { conditionsOfStep } from './conditions-of-step.js';
import { findMinionObstacle } from './find-minion-obstacle.js';
import type { InterferencePredictor } from './interference-predictor.js';
import { MinionChooser } from './minion-chooser.js';
import type { PlannedStart } from './planned-start.js';
import { startableSteps } from './startable-steps.js';
import type { Urgency } from './urgency.js';
import { compareUrgency, urgencyOf } from './urgency.js';

/**
 * Plans a round of starts: the jobs in order of urgency, and as many tasks of
 * each as there is free capacity for. The members of a gang start together or
 * not at all.
 */
export function planStarts(
  table: JobTable,
  predictor: InterferencePredictor,
  now: number,
): readonly PlannedStart[] {
  const waiting = waitingJobs(table, now);
  if (waiting.length === 0) {
    return [];
  }
  const candidates = [...table.minions.values()]
    .filter(minion => acceptsStarts(minion, now))
    .map(minion => new CandidateMinion(minion));
  const starts: PlannedStart[] = [];
  for (const { job, steps, urgency } of waiting) {
    const mayWait = canWait(steps, urgency, now);
    for (const tasks of steps) {
      starts.push(...planStep(job, tasks, candidates, predictor, mayWait));
    }
  }
  return starts;
}

interface WaitingJob {
  readonly job: JobEntry;
  readonly steps: readonly (readonly TaskEntry[])[];
  readonly urgency: Urgency;
}

function waitingJobs(table: JobTable, now: number): readonly WaitingJob[] {
  const waiting: WaitingJob[] = [];
  for (const job of table.jobs.values()) {
    const steps = job.ended === undefined ? startableSteps(job, now) : [];
    if (steps.length > 0) {
      waiting.push({ job, steps, urgency: urgencyOf(job, now) });
    }
  }
  return waiting.sort((first, second) =>
    compareUrgency(first.urgency, second.urgency),
  );
}

/** Whether tasks may be started on a minion now. */
export function acceptsStarts(minion: MinionEntry, now: number): boolean {
  return findMinionObstacle(minion, now) === undefined;
}

function planStep(
  job: JobEntry,
  tasks: readonly TaskEntry[],
  candidates: readonly CandidateMinion[],
  predictor: InterferencePredictor,
  mayWait: boolean,
): readonly PlannedStart[] {
  const gang = tasks[0]?.specification.gang ?? false;
  const tentative = gang
    ? candidates.map(candidate => candidate.copy())
    : candidates;
  const chooser = new MinionChooser(
    tentative,
    conditionsOfStep(job, tasks.length, predictor, mayWait),
  );
  const starts: PlannedStart[] = [];
  for (const task of tasks) {
    const chosen = chooser.place(task, preferredRack(task, starts));
    if (chosen === undefined) {
      break;
    }
    const { candidate, endangeredBounds } = chosen;
    starts.push({ task, minion: candidate.minion, endangeredBounds });
  }
  return gang ? startsOfWholeGang(job, tasks, starts, candidates) : starts;
}

function preferredRack(
  task: TaskEntry,
  starts: readonly PlannedStart[],
): string {
  const { dataRack, tightlyCoupled } = task.specification;
  if (dataRack !== '' || !tightlyCoupled) {
    return dataRack;
  }
  return starts[0]?.minion.description?.labels.at(-1) ?? '';
}

/** Returns the starts of a gang and places them; none unless all members fit. */
function startsOfWholeGang(
  job: JobEntry,
  tasks: readonly TaskEntry[],
  starts: readonly PlannedStart[],
  candidates: readonly CandidateMinion[],
): readonly PlannedStart[] {
  const [first] = tasks;
  const size =
    first === undefined
      ? 0
      : (job.occurrences.get(first.occurrence)?.[first.step]?.length ?? 0);
  if (starts.length < size) {
    return [];
  }
  for (const { task, minion } of starts) {
    candidates.find(candidate => candidate.minion === minion)?.place(task);
  }
  return starts;
}
