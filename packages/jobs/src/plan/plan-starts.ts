import type { JobEntry } from '../state/job-entry.js';
import type { JobTable } from '../state/job-table.js';
import type { MinionEntry } from '../state/minion-entry.js';
import type { TaskEntry } from '../state/task-entry.js';
import { chooseMinion } from './choose-minion.js';
import type { HarmEstimate } from './harm-estimate.js';
import type { PlannedStart } from './planned-start.js';
import { RoomView } from './room-view.js';
import { startableSteps } from './startable-tasks.js';
import type { Urgency } from './urgency.js';
import { compareUrgency, urgencyOf } from './urgency.js';

/** Longest wait of a task for a better moment; users count 3 s as forgotten. */
const MOST_WAIT_MILLISECONDS = 2500;

/** A job that has to start sooner to be on time does not wait. */
const WAIT_RESERVE_MILLISECONDS = 1000;

/**
 * Plans a round of starts: jobs by urgency, the tasks of each as far as there
 * is room. The members of a gang start together or not at all.
 */
export function planStarts(
  table: JobTable,
  harm: HarmEstimate,
  now: number,
): readonly PlannedStart[] {
  const waiting = waitingJobs(table, now);
  if (waiting.length === 0) {
    return [];
  }
  const rooms = [...table.minions.values()]
    .filter(minion => mayTakeStarts(minion, now))
    .map(minion => new RoomView(minion));
  const starts: PlannedStart[] = [];
  for (const { job, steps, urgency } of waiting) {
    const mayWait = canWait(steps, urgency, now);
    for (const tasks of steps) {
      starts.push(...planStep(job, tasks, rooms, harm, mayWait));
    }
  }
  return starts;
}

/**
 * A filling task may wait for a moment at which it harms less, unless it has to
 * start now to be on time; of a job that is late, little is lost by waiting.
 */
function canWait(
  steps: WaitingJob['steps'],
  { late, latestStart }: Urgency,
  now: number,
): boolean {
  const isNew = (task: TaskEntry): boolean =>
    now - task.waitingSince < MOST_WAIT_MILLISECONDS;
  const hasTime = late || latestStart - now > WAIT_RESERVE_MILLISECONDS;
  return hasTime && steps.some(tasks => tasks.some(isNew));
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

function mayTakeStarts(minion: MinionEntry, now: number): boolean {
  return (
    minion.connected &&
    minion.description !== undefined &&
    !minion.description.draining &&
    minion.restsUntil <= now
  );
}

function planStep(
  job: JobEntry,
  tasks: readonly TaskEntry[],
  rooms: readonly RoomView[],
  harm: HarmEstimate,
  mayWait: boolean,
): readonly PlannedStart[] {
  const gang = tasks[0]?.specification.gang ?? false;
  const candidates = gang ? rooms.map(room => room.copy()) : rooms;
  const starts: PlannedStart[] = [];
  for (const task of tasks) {
    const rack = preferredRack(task, starts);
    const chosen = chooseMinion(
      task,
      job.queue.service,
      candidates,
      rack,
      harm,
      mayWait,
    );
    if (chosen === undefined) {
      break;
    }
    const { room, endangeredBounds } = chosen;
    room.take(task);
    starts.push({ task, minion: room.minion, endangeredBounds });
  }
  return gang ? wholeGang(job, tasks, starts, rooms) : starts;
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

function wholeGang(
  job: JobEntry,
  tasks: readonly TaskEntry[],
  starts: readonly PlannedStart[],
  rooms: readonly RoomView[],
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
    rooms.find(room => room.minion === minion)?.take(task);
  }
  return starts;
}
