import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import { Leader } from '@basilcourse/job-nodes/leader/leader';
import { anchoredTime } from '@basilcourse/job-nodes/time/anchored-time';
import { pause } from '@basilcourse/job-nodes/time/pause';

import { STORE_LIMITS } from '../store-limits.js';
import type { JobKind } from './job-arrivals.js';
import { arrivingJob, JOB_KINDS, REFERENCE_VMS } from './job-arrivals.js';
import type { LeaderLoadFigures } from './leader-load-figures.js';
import type { RunBehaviour } from './run-behaviour.js';
import { SimulatedAgent } from './simulated-agent.js';
import { StoreMeter } from './store-meter.js';

const WARM_UP_MILLISECONDS = 3000;

const MEASURED_MILLISECONDS = 8000;

const SUBMIT_INTERVAL_MILLISECONDS = 20;

const LEASE_MILLISECONDS = 6000;

const ENTRIES = Array.from({ length: 9 }, (_, n) => `10.0.0.${n + 1}:7720`);

const MILLISECONDS_PER_SECOND = 1000;

const BEHAVIOUR: RunBehaviour = {
  durationMilliseconds: ({ traits }) => {
    if (traits.tailTargetMilliseconds > 0) {
      return Number.POSITIVE_INFINITY;
    }
    return traits.filling ? 3857 : 914;
  },
  gauge: ({ traits }, now) =>
    traits.tailTargetMilliseconds > 0
      ? Math.round(60 + 40 * Math.sin(now / MILLISECONDS_PER_SECOND))
      : traits.processorMillicores,
};

/**
 * Runs a leader with agents that are simulated in this process, under a load in
 * proportion to the number of VMs.
 *
 * @param factor - Load, 1 for that of the users' deployment of this size.
 */
export async function runLeaderLoad(
  vms: number,
  factor: number,
  seed: number,
): Promise<LeaderLoadFigures> {
  const random = seededRandom(seed);
  const time = anchoredTime();
  const store = new StoreMeter();
  let lines = 0;
  const countLine = (): void => {
    lines += 1;
  };
  const leader = new Leader({
    processorCores: 1,
    epoch: 1,
    store,
    storeLimits: STORE_LIMITS,
    time,
    logger: { info: countLine, warn: countLine, error: countLine },
    leaseMilliseconds: LEASE_MILLISECONDS,
    minionLimits: {
      longestLeaseMilliseconds: LEASE_MILLISECONDS,
      longestCallDelayMilliseconds: 0,
    },
    isValid: () => true,
    onFenced: () => undefined,
    observe: () => undefined,
    entries: () => ENTRIES,
  });
  await leader.open();
  const agents = Array.from(
    { length: vms },
    (_, number) => new SimulatedAgent(`vm-${number}`, leader, time, BEHAVIOUR),
  );
  let submitted = 0;
  const submit = (kind: JobKind): void => {
    submitted += 1;
    void leader.answer({
      kind: 'submit',
      specification: arrivingJob(kind, submitted, random),
      queue: {
        name: kind.name,
        service: 'service',
        priority: kind.priority,
        maximumAttempts: 4,
        slackFactor: 2,
        targetLatencyMilliseconds: 600,
      },
    });
  };
  const scale = (factor * vms) / REFERENCE_VMS;
  for (const kind of JOB_KINDS) {
    for (let n = 0; n < kind.initial * (vms / REFERENCE_VMS); n += 1) {
      submit(kind);
    }
  }
  const due = new Map<string, number>();
  const arrivals = setInterval(() => {
    for (const kind of JOB_KINDS) {
      const amount =
        (due.get(kind.name) ?? 0) +
        (kind.perSecond * scale * SUBMIT_INTERVAL_MILLISECONDS) /
          MILLISECONDS_PER_SECOND;
      for (let n = 1; n <= amount; n += 1) {
        submit(kind);
      }
      due.set(kind.name, amount % 1);
    }
  }, SUBMIT_INTERVAL_MILLISECONDS);
  await pause(WARM_UP_MILLISECONDS);
  const sum = (read: (agent: SimulatedAgent) => number): number =>
    agents.reduce((total, agent) => total + read(agent), 0);
  const read = (): LeaderLoadFigures => ({
    tasks: sum(agent => agent.endedRuns),
    processorMicroseconds: process.cpuUsage().user + process.cpuUsage().system,
    messagesIn: sum(agent => agent.messagesSent),
    messagesOut: sum(agent => agent.messagesReceived),
    charactersIn: sum(agent => agent.charactersSent),
    charactersOut: sum(agent => agent.charactersReceived),
    appends: store.appends,
    storedCharacters: store.characters,
    lines,
    milliseconds: time.steady(),
  });
  const before = read();
  await pause(MEASURED_MILLISECONDS);
  const after = read();
  clearInterval(arrivals);
  agents.forEach(agent => {
    agent.close();
  });
  leader.close();
  return difference(before, after);
}

function difference(
  before: LeaderLoadFigures,
  after: LeaderLoadFigures,
): LeaderLoadFigures {
  return {
    tasks: after.tasks - before.tasks,
    processorMicroseconds:
      after.processorMicroseconds - before.processorMicroseconds,
    messagesIn: after.messagesIn - before.messagesIn,
    messagesOut: after.messagesOut - before.messagesOut,
    charactersIn: after.charactersIn - before.charactersIn,
    charactersOut: after.charactersOut - before.charactersOut,
    appends: after.appends - before.appends,
    storedCharacters: after.storedCharacters - before.storedCharacters,
    lines: after.lines - before.lines,
    milliseconds: after.milliseconds - before.milliseconds,
  };
}
