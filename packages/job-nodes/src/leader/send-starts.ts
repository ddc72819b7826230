import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import type { StartOrder } from '@basilcourse/jobs/model/start-order';
import { traitsOf } from '@basilcourse/jobs/model/traits-of';
import type { PlannedStart } from '@basilcourse/jobs/plan/planned-start';
import type { TaskEntry } from '@basilcourse/jobs/state/task-entry';

import type { AgentSession } from './agent-session.js';
import type { LeaderState } from './leader-state.js';

/** Logged values are rounded to hundredths. */
const ROUNDING_FACTOR = 100;

/** Starts in one message, which an agent reads as one line. */
const MAXIMUM_STARTS_PER_MESSAGE = 16;

/** Characters of texts from callers and minions in one message. */
const MAXIMUM_TEXT_CHARACTERS = 32 * 1024;

/**
 * Sends the orders for starts that are stored. A start whose job has since
 * ended is reverted, also one whose task has another run that a minion lists. A start whose agent has since opened another stream is not
 * sent; the agent's next report releases its task.
 *
 * @param onRoom - Called when an agent can be sent more of its starts.
 * @returns The starts that wait until their agents have read earlier ones.
 */
export function sendStarts(
  state: LeaderState,
  starts: readonly PlannedStart[],
  logger: PartLogger,
  onRoom: () => void,
): readonly PlannedStart[] {
  const startsBySession = new Map<AgentSession, PlannedStart[]>();
  for (const start of starts) {
    const { task, minion } = start;
    const job = state.table.jobs.get(task.jobIdentifier);
    const session = state.sessions.sessionFor(task);
    if (task.phase !== 'assigned' || job === undefined) {
      continue;
    }
    if (job.ended !== undefined || hasAnotherRun(task)) {
      minion.removeRun(task.name, task.run);
      task.release(0);
      state.table.markChanged(task);
    } else if (session?.fencingToken === task.orderToken) {
      const list = startsBySession.get(session) ?? [];
      list.push(start);
      startsBySession.set(session, list);
    }
  }
  return [...startsBySession].flatMap(([session, sessionStarts]) =>
    sendWithinRoom(state, session, sessionStarts, logger, onRoom),
  );
}

/** Whether a run beside the planned one is on a minion, or may be. */
function hasAnotherRun({ placements }: TaskEntry): boolean {
  return placements > 1;
}

/** Sends starts to one agent while it reads; returns those that are left. */
function sendWithinRoom(
  state: LeaderState,
  session: AgentSession,
  starts: readonly PlannedStart[],
  logger: PartLogger,
  onRoom: () => void,
): readonly PlannedStart[] {
  let sent = 0;
  while (sent < starts.length && session.hasRoomForStarts()) {
    const count = countForMessage(state, starts, sent);
    sendMessage(state, session, starts.slice(sent, sent + count), logger);
    sent += count;
  }
  if (sent < starts.length) {
    logger.info('Starts wait until the agent has read earlier ones.', {
      agent: session.agent,
      waiting: starts.length - sent,
    });
    session.afterDrain(onRoom);
  }
  return starts.slice(sent);
}

/** Returns how many starts, from a position on, one message has; at least one. */
function countForMessage(
  state: LeaderState,
  starts: readonly PlannedStart[],
  from: number,
): number {
  const candidates = starts.slice(from, from + MAXIMUM_STARTS_PER_MESSAGE);
  let characters = 0;
  const tooMany = candidates.findIndex(({ task }, position) => {
    const job = state.table.jobs.get(task.jobIdentifier);
    characters += job?.specification.payload.length ?? 0;
    characters += task.checkpoint.length + task.specification.image.length;
    return position > 0 && characters > MAXIMUM_TEXT_CHARACTERS;
  });
  return tooMany > 0 ? tooMany : candidates.length;
}

function sendMessage(
  state: LeaderState,
  session: AgentSession,
  starts: readonly PlannedStart[],
  logger: PartLogger,
): void {
  const orders = starts.map(({ task }) => {
    const job = state.table.jobs.get(task.jobIdentifier);
    task.startSent = true;
    return createStartOrder(task, job?.specification.payload ?? '');
  });
  const endangeredBounds = Math.max(
    ...starts.map(start => start.endangeredBounds),
  );
  const { incarnation } = session;
  session.send({ kind: 'starts', incarnation, starts: orders });
  logger.info('Runs are started.', {
    runs: orders.map(({ task, run }) => `${task}/${run}`).join(' '),
    agent: session.agent,
    incarnation,
    token: session.fencingToken,
    endangeredBounds: rounded(endangeredBounds),
  });
}

function createStartOrder(task: TaskEntry, payload: string): StartOrder {
  return {
    task: task.name,
    run: task.run,
    payload,
    checkpoint: task.checkpoint,
    traits: traitsOf(task.specification),
  };
}

function rounded(value: number): number {
  return Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR;
}
