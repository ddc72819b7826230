import type { JobEntry } from '../state/job-entry.js';
import type { TaskEntry } from '../state/task-entry.js';
import type { CandidateMinion } from './candidate-minion.js';
import { MinionChooser } from './minion-chooser.js';
import type { PlannedStart } from './planned-start.js';
import type { StepConditions } from './step-conditions.js';

/**
 * Plans starts of the equal tasks of one step, as many as there is room for, and
 * counts them on the candidates. The members of a gang start together or not at all.
 */
export function planStep(
  job: JobEntry,
  tasks: readonly TaskEntry[],
  candidates: readonly CandidateMinion[],
  conditions: StepConditions,
): readonly PlannedStart[] {
  const gang = tasks[0]?.specification.gang ?? false;
  const tentative = gang
    ? candidates.map(candidate => candidate.copy())
    : candidates;
  const chooser = new MinionChooser(tentative, conditions);
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
