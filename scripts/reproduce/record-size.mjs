/**
 * Hands the real programs a job that a record of the store can't hold beside small
 * jobs, and checks that these are still accepted, run and answered.
 *
 * Usage, from the root of the repository, after `node scripts/bundle.mjs`:
 * `node scripts/reproduce/record-size.mjs one-request|wide-job|wide-job-that-fits|long-checkpoints|many-names|restart`
 */
import { readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { Deployment, pause } from '../../review/deployment.mjs';

const [name] = process.argv.slice(2);

const LARGE_JOB = 'aaaaaaaaaaaaaaaa';

const SMALL_JOBS = 40;

/** Callers try again; an entry may be down as they do. */
const SMALL_JOB_TRIES = name === 'restart' ? 3 : 1;

const SMALL_JOB_GAP_MILLISECONDS = 800;

const FINISH_MILLISECONDS = 12_000;

const MILLISECONDS_PER_TICK = 10;

const step = {
  count: 4,
  cpu: 240,
  task_memory_mb: 480,
  estimated_ms: 500,
};

const smallJob = { specification: 'work_ms=500', steps: [step] };

const narrow = { ...step, cpu: 1, task_memory_mb: 1 };

function wideJob(count) {
  return {
    specification: 'work_ms=25000 saves',
    steps: [{ ...narrow, count, estimated_ms: 25_000, checkpointing: true }],
  };
}

/** Lets the minions name checkpoints of a given length. */
function lengthenCheckpoints(deployment, characters) {
  for (const minion of deployment.minions) {
    const savedOf = minion.savedOf.bind(minion);
    minion.savedOf = entry => {
      const saved = savedOf(entry);
      return saved === '' ? '' : saved.padEnd(characters, ' ');
    };
  }
}

/** Processor time of the running entries so far, on Linux. */
function entryMilliseconds(deployment) {
  let ticks = 0;
  for (const [name, child] of deployment.processes) {
    if (name.startsWith('entry')) {
      const fields = readFileSync(`/proc/${child.pid}/stat`, 'utf8').split(' ');
      ticks += Number(fields[13]) + Number(fields[14]);
    }
  }
  return ticks * MILLISECONDS_PER_TICK;
}

const CASES = {
  'one-request': () => ({
    ...smallJob,
    steps: [{ ...step, data_rack: 'r'.repeat(261_900) }],
  }),
  'wide-job': () => wideJob(9600),
  'long-checkpoints': deployment => {
    lengthenCheckpoints(deployment, 3000);
    return wideJob(300);
  },
  'many-names': () => ({
    ...smallJob,
    steps: Array.from({ length: 1100 }, () => ({ ...step, count: 1 })),
  }),
  'wide-job-that-fits': () => wideJob(3000),
  restart: deployment => {
    setTimeout(() => {
      deployment.signal(deployment.leader(), 'SIGKILL');
    }, 9000);
    return wideJob(3000);
  },
};

const deployment = new Deployment({
  record: join(tmpdir(), `record-size-${name}.txt`),
  entries: 3,
  agents: 3,
  capacity: { cpu: 64_000, task_memory_mb: 250_000, gpus: 0 },
  seconds: 300,
});
await deployment.start();
let refused = 0;
deployment.store.onRefused = (topic, status, _answer, bytes) => {
  refused += Number(status === 400);
  if (status === 400 && refused <= 3) {
    deployment.note(`store: ${bytes} bytes to ${topic}: ${status}`);
  }
};
let appended = 0;
const onAppended = deployment.store.onAppended;
deployment.store.onAppended = (topic, values) => {
  for (const { key, value } of topic === 'keyed.jobs' ? values : []) {
    appended += key.length + value.length;
  }
  onAppended(topic, values);
};
const job = CASES[name](deployment);
const startedAt = performance.now();
const { status } = await deployment.callEntry(0, 'POST', LARGE_JOB, job);
const tookMilliseconds = Math.round(performance.now() - startedAt);
const accepted = [];
for (let number = 0; number < SMALL_JOBS; number += 1) {
  const identifier = `bbbbbbbbbbbb${String(number).padStart(4, '0')}`;
  if (await deployment.submit(identifier, smallJob, SMALL_JOB_TRIES)) {
    accepted.push(identifier);
  }
  await pause(SMALL_JOB_GAP_MILLISECONDS);
}
await pause(FINISH_MILLISECONDS);
let completed = 0;
for (const identifier of accepted) {
  completed += Number((await deployment.stateOf(identifier)) === 'completed');
}
const state = await deployment.stateOf(LARGE_JOB);
const done = deployment.eventsOf(LARGE_JOB, 'done').length;
const starts = deployment.eventsOf(LARGE_JOB, 'start').length;
const overlaps = deployment.overlaps().length;
const processor = entryMilliseconds(deployment);
const seconds = (performance.now() - startedAt) / 1000;
process.stdout.write(
  `${name}: the large job is answered ${status} in ${tookMilliseconds} ms; state ${state}, ` +
    `${starts} starts, ${done} done, ${overlaps} pairs of runs at once; small jobs: ${accepted.length} of ` +
    `${SMALL_JOBS} accepted, ${completed} completed; appends refused: ${refused}; ` +
    `${Math.round(appended / seconds)} bytes stored a second, ${processor} ms of the entries' processor time\n`,
);
const isHeld =
  accepted.length === SMALL_JOBS &&
  completed === SMALL_JOBS &&
  refused === 0 &&
  overlaps === 0;
deployment.finish(isHeld ? 0 : 1);
