/**
 * Runs the real programs against the stand-ins of `review/` for a while, with
 * troubles drawn from a seed, and checks what minions and callers see: no two runs
 * of a task at once, no start after an acknowledged end, no job lost.
 *
 * Usage, from the root of the repository, after `node scripts/bundle.mjs`:
 * `node scripts/reproduce/random-troubles.mjs SEED [SECONDS]`
 */
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { Deployment, pause } from '../../review/deployment.mjs';
import { refuse, tellAgent } from './disturb.mjs';

const seed = Number(process.argv[2] ?? 1);

const TROUBLE_SECONDS = Number(process.argv[3] ?? 40);

const ENTRIES = 3;

const AGENTS = 5;

const JOB_GAP_MILLISECONDS = 900;

const MAXIMUM_PAUSE_MILLISECONDS = 2500;

const MAXIMUM_SIGNAL_MILLISECONDS = 5000;

/** The longest lease, a stop and the work of a job, twice. */
const FINISH_MILLISECONDS = 40_000;

/** Returns numbers from 0 to 1 that a seed determines (mulberry32). */
function createRandom(start) {
  let state = start;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

const random = createRandom(seed);

function pick(values) {
  return values[Math.floor(random() * values.length)];
}

const deployment = new Deployment({
  record: join(tmpdir(), `random-troubles-${seed}.txt`),
  entries: ENTRIES,
  agents: AGENTS,
  capacity: { cpu: 16_000, task_memory_mb: 64_000, gpus: 0 },
  seconds: TROUBLE_SECONDS + 90,
});

function makeJob(number) {
  const work = 500 + Math.floor(random() * 4000);
  const step = {
    count: 2 + (number % 5),
    cpu: 900,
    task_memory_mb: 500,
    estimated_ms: work,
  };
  if (number % 9 === 4) {
    return {
      specification: 'lasting',
      steps: [{ ...step, long_running: true }],
    };
  }
  if (number % 9 === 7) {
    // More tasks than a record of its progress has.
    const narrow = { ...step, count: 200, cpu: 1, task_memory_mb: 1 };
    return {
      specification: `work_ms=${work} saves`,
      steps: [
        { ...narrow, checkpointing: true },
        { ...narrow, checkpointing: true, after: [0] },
      ],
    };
  }
  if (number % 9 === 2) {
    return {
      specification: `work_ms=${Math.round(work / 4)}`,
      steps: [{ ...step, cpu: 90, task_memory_mb: 50 }],
      repetitions: 12,
      first_run_ms: Date.now() - 1000,
      interval_ms: 500,
    };
  }
  const saves = number % 3 === 0;
  return {
    specification: `work_ms=${work}${saves ? ' saves' : ''}`,
    steps: [
      { ...step, checkpointing: saves },
      { ...step, checkpointing: saves, after: [0] },
    ],
  };
}

async function signalFor(name, stop, resume) {
  deployment.signal(name, stop);
  if (resume !== undefined) {
    await pause(random() * MAXIMUM_SIGNAL_MILLISECONDS);
    deployment.signal(name, resume);
  }
}

const TROUBLES = {
  'leader-killed': () => signalFor(deployment.leader(), 'SIGKILL'),
  'leader-frozen': () => signalFor(deployment.leader(), 'SIGSTOP', 'SIGCONT'),
  'leader-stopped': () => signalFor(deployment.leader(), 'SIGTERM'),
  'agent-killed': number => signalFor(`side-${number + 1}`, 'SIGKILL'),
  'agent-frozen': number =>
    signalFor(`side-${number + 1}`, 'SIGSTOP', 'SIGCONT'),
  refused: async (_number, minion) => {
    const silent = random() < 0.5;
    if (silent) {
      clearInterval(minion.beats);
    }
    await refuse(minion, random() * 2 * MAXIMUM_SIGNAL_MILLISECONDS);
    if (silent) {
      minion.startHeartbeats();
    }
  },
  reborn: async (_number, minion) => {
    minion.crash();
    await refuse(minion, random() * MAXIMUM_PAUSE_MILLISECONDS);
    const again = random() < 0.5;
    minion.beginLife(
      again ? minion.identifier : `${minion.options.name}-${minion.born}`,
    );
  },
  'odd-heartbeat': (_number, minion) => {
    const odd = pick([
      { address: undefined },
      { address: '127.0.0.1:99999' },
      { seq: 1e300 },
      { born: 9e15 },
      { born: Date.now() + 30_000 },
      { capacity: { cpu: 1e300, task_memory_mb: 1 } },
    ]);
    const body = { ...minion.description(), born: Date.now(), ...odd };
    return tellAgent(minion, 'PUT', 'i-other', JSON.stringify(body));
  },
  'heartbeat-of-another': (_number, minion) => {
    const body = { ...minion.description(), born: Date.now() };
    return tellAgent(minion, 'PUT', 'i-other', JSON.stringify(body));
  },
  'late-departure': (_number, minion) =>
    tellAgent(minion, 'DELETE', minion.identifier, ''),
  'store-away': async () => {
    deployment.store.turnsAway = true;
    await pause(random() * MAXIMUM_SIGNAL_MILLISECONDS);
    deployment.store.turnsAway = false;
  },
};

await deployment.start();
const until = performance.now() + TROUBLE_SECONDS * 1000;
const accepted = [];
const submitting = (async () => {
  for (let number = 0; performance.now() < until; number += 1) {
    const identifier = `${seed.toString(16).padStart(8, '0')}${number.toString(16).padStart(8, '0')}`;
    const job = makeJob(number);
    if (await deployment.submit(identifier, job)) {
      accepted.push({ identifier, job });
    }
    await pause(JOB_GAP_MILLISECONDS);
  }
})();
const busy = new Set();
const running = [];
while (performance.now() < until) {
  const name = pick(Object.keys(TROUBLES));
  const number = Math.floor(random() * AGENTS);
  const target = /leader|store/.test(name) ? name : `minion ${number}`;
  if (!busy.has(target)) {
    busy.add(target);
    deployment.note(`trouble: ${name} at ${target}`);
    running.push(
      Promise.resolve(TROUBLES[name](number, deployment.minions[number])).then(
        () => busy.delete(target),
      ),
    );
  }
  await pause(random() * MAXIMUM_PAUSE_MILLISECONDS);
}
await Promise.all([submitting, ...running]);
deployment.note('the troubles are over');
await pause(FINISH_MILLISECONDS);

const broken = deployment.overlaps().map(text => `two runs at once: ${text}`);
for (const { identifier, job } of accepted) {
  const lasting = job.steps[0].long_running === true;
  const state = await deployment.stateOf(identifier);
  if (state !== (lasting ? 'running' : 'completed')) {
    broken.push(`job ${identifier} is shown as ${state}`);
  }
}
const acknowledged = new Set();
const lapsed = new Set();
for (const { event, task, run, minion, how } of deployment.events) {
  if (event === 'lapsed') {
    lapsed.add(minion);
  } else if (event === 'acked' && how === 'done' && !lapsed.has(minion)) {
    acknowledged.add(task);
  } else if (event === 'start' && acknowledged.has(task)) {
    broken.push(`${task} run ${run} began on ${minion} after its end`);
  }
}
const starts = deployment.events.filter(({ event }) => event === 'start');
broken.forEach(text => {
  deployment.note(text);
});
process.stdout.write(
  `seed ${seed}: ${accepted.length} jobs, ${starts.length} starts, ${running.length} troubles, ${broken.length} broken; record ${deployment.options.record}\n${broken
    .slice(0, 5)
    .map(text => `  ${text}\n`)
    .join('')}`,
);
deployment.finish(broken.length > 0 ? 1 : 0);
