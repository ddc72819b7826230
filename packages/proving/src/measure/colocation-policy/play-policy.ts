import { setImmediate as turn } from 'node:timers/promises';

import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import { LeaderState } from '@basilcourse/job-nodes/leader/leader-state';
import type { QueueSettings } from '@basilcourse/jobs/model/queue-settings';
import { planStarts } from '@basilcourse/jobs/plan/plan-starts';
import { applyReport } from '@basilcourse/jobs/reconcile/apply-report';
import { throttledTasksToMove } from '@basilcourse/jobs/reconcile/throttled-tasks-to-move';

import { silentLogger } from '../silent-logger.js';
import { STORE_LIMITS } from '../store-limits.js';
import { ColocationLoad } from './colocation-load.js';
import { ModelAgent } from './model-agent.js';
import type { Policy } from './policy.js';
import type { PolicyFigures } from './policy-figures.js';

const VMS = 9;

const STEP_MILLISECONDS = 100;

const MOVE_INTERVAL_MILLISECONDS = 400;

/** Time before the first batch job, in which serving tasks run alone. */
const LEAD_MILLISECONDS = 10_000;

/** Time after the last batch job until the play ends. */
const FINISH_MILLISECONDS = 10_000;

const QUEUE: QueueSettings = {
  name: 'queue',
  service: 'service',
  priority: 0,
  maximumAttempts: 3,
  slackFactor: 2,
  targetLatencyMilliseconds: 1000,
};

/** Plays one load with the decisions of the leader and of the agents. */
export async function playPolicy(
  policy: Policy,
  seed: number,
  seconds: number,
): Promise<PolicyFigures> {
  const load = new ColocationLoad(seed, seconds);
  const state = new LeaderState(1, STORE_LIMITS, silentLogger);
  const random = seededRandom(seed + 1);
  const agents = Array.from(
    { length: VMS },
    (_, number) => new ModelAgent(`vm-${number}`, state, load, policy, random),
  );
  if (policy.knowsInterference) {
    adoptInterference(state, load);
  }
  for (const specification of load.serving) {
    state.accept({ specification, queue: QUEUE, acceptedAt: 0 });
  }
  const arrivals = [...load.arrivals];
  const end = LEAD_MILLISECONDS + seconds * 1000 + FINISH_MILLISECONDS;
  let moves = 0;
  for (let now = STEP_MILLISECONDS; now <= end; now += STEP_MILLISECONDS) {
    while ((arrivals[0]?.at ?? end) + LEAD_MILLISECONDS <= now) {
      const specification = arrivals.shift()?.specification;
      if (specification !== undefined) {
        state.accept({ specification, queue: QUEUE, acceptedAt: now });
      }
    }
    for (const agent of agents) {
      agent.advance(STEP_MILLISECONDS, now, applyReport);
    }
    await turn();
    start(state, agents, now);
    if (policy.moves && now % MOVE_INTERVAL_MILLISECONDS === 0) {
      moves += move(state, agents, now);
    }
  }
  return figuresOf(state, load, agents, moves);
}

function adoptInterference(state: LeaderState, load: ColocationLoad): void {
  state.interference.adopt({
    harms: load.pairs().map(([serving, filling, harm]) => ({
      serving,
      filling,
      harm,
      observations: 1000,
    })),
    lowestTails: [],
  });
}

function start(
  state: LeaderState,
  agents: readonly ModelAgent[],
  now: number,
): void {
  const predictor = state.interference.predictor(now);
  const starts = planStarts(state.table, predictor, now);
  state.assign(starts, now);
  for (const { task, minion } of starts) {
    task.startSent = true;
    agents.find(({ name }) => name === minion.agent)?.start(task);
  }
}

function move(
  state: LeaderState,
  agents: readonly ModelAgent[],
  now: number,
): number {
  const predictor = state.interference.predictor(now);
  const tasks = throttledTasksToMove(state.table, predictor, now);
  for (const task of tasks) {
    task.moves += 1;
    task.stopping = true;
    agents
      .find(({ incarnation }) => incarnation === task.incarnation)
      ?.stop(task);
  }
  return tasks.length;
}

function figuresOf(
  state: LeaderState,
  load: ColocationLoad,
  agents: readonly ModelAgent[],
  moves: number,
): PolicyFigures {
  let inAim = 0;
  let completed = 0;
  for (const { specification } of load.arrivals) {
    const job = state.table.jobs.get(specification.identifier);
    const chain = specification.steps[0]?.estimatedMilliseconds ?? 0;
    const aim = QUEUE.slackFactor * chain + QUEUE.targetLatencyMilliseconds;
    if (job?.status === 'completed') {
      completed += 1;
      inAim += Number(job.endedAt - job.acceptedAt <= aim);
    }
  }
  const violated = agents.reduce(
    (sum, agent) => sum + agent.violatedMilliseconds,
    0,
  );
  return {
    violatedSeconds: violated / 1000,
    batchJobs: load.arrivals.length,
    inAim,
    completed,
    throttles: agents.reduce((sum, agent) => sum + agent.throttles, 0),
    moves,
  };
}
