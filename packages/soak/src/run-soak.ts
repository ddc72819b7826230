import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

import { pickOne } from '@basilcourse/foundation/random/pick-one';
import type { RandomSource } from '@basilcourse/foundation/random/random-source';
import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import { JobCaller } from '@basilcourse/platform-stand-in/caller/job-caller';
import type { JobRequest } from '@basilcourse/platform-stand-in/caller/job-request';
import { pause } from '@basilcourse/platform-stand-in/time/pause';

import { drawJob } from './draw-job.js';
import { laneReport } from './lane-report.js';
import { PromiseChecker } from './promise-checker.js';
import { QUEUE, ROOM, SoakDeployment } from './soak-deployment.js';
import type { SoakEvent } from './soak-event.js';
import type { SoakOptions } from './soak-options.js';
import type { SoakResult } from './soak-result.js';
import { Trace } from './trace.js';
import { TROUBLES } from './troubles.js';

const JOB_GAP_MILLISECONDS = 700;

const TRIES = 6;

const TRY_GAP_MILLISECONDS = 800;

/** Each of so many jobs is cancelled a while after it was handed in. */
const CANCELLED_EACH = 7;

const MAXIMUM_TROUBLE_MILLISECONDS = 5000;

const MAXIMUM_GAP_MILLISECONDS = 1500;

/** The longest lease, a stop and the work of a job, several times. */
const FINISH_MILLISECONDS = 60_000;

const STATE_INTERVAL_MILLISECONDS = 2000;

/** Plays a soak, and returns what was broken. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  mkdirSync(options.directory, { recursive: true });
  const trace = new Trace(join(options.directory, 'trace.jsonl'));
  const checker = new PromiseChecker(ROOM);
  const record = (event: SoakEvent): void => {
    trace.add(event);
    checker.apply(event);
  };
  const deployment = new SoakDeployment(options, record);
  try {
    await deployment.start();
    const until = performance.now() + options.seconds * 1000;
    await Promise.all([
      handInJobs(options, deployment, record, until),
      causeTroubles(options, deployment, record, until),
    ]);
    await checkJobs(deployment, checker, record);
  } finally {
    deployment.close();
    trace.flush();
    const report = laneReport(trace.events);
    writeFileSync(join(options.directory, 'lanes.svg'), report);
  }
  const { events } = trace;
  return {
    jobs: checker.accepted().length,
    starts: events.filter(
      ({ event }) => event.kind === 'run' && event.event.kind === 'started',
    ).length,
    troubles: events.filter(({ event }) => event.kind === 'trouble').length,
    refusedAppends: deployment.store.refusals,
    breaches: checker.breaches,
  };
}

async function handInJobs(
  { seed }: SoakOptions,
  deployment: SoakDeployment,
  record: (event: SoakEvent) => void,
  until: number,
): Promise<void> {
  const random = seededRandom(seed);
  const caller = new JobCaller(QUEUE.host, QUEUE.prefix);
  const pending: Promise<void>[] = [];
  for (let number = 0; performance.now() < until; number += 1) {
    const job = drawJob(seed, number, random);
    record({ kind: 'submitted', job });
    pending.push(
      handIn(caller, deployment.callerAddresses, job, number, record),
    );
    await pause(JOB_GAP_MILLISECONDS);
  }
  await Promise.all(pending);
}

/** Hands a job in, again at the next entry until that is accepted. */
async function handIn(
  caller: JobCaller,
  addresses: readonly string[],
  job: JobRequest,
  number: number,
  record: (event: SoakEvent) => void,
): Promise<void> {
  const { identifier } = job;
  const addressOf = (tries: number): string =>
    addresses[(number + tries) % addresses.length] ?? '';
  for (let tries = 0; tries < TRIES; tries += 1) {
    const result = await caller.submit(addressOf(tries), job);
    record({ kind: 'answered', call: 'submit', identifier, result });
    if (result === 'done') {
      break;
    }
    await pause(TRY_GAP_MILLISECONDS);
  }
  if (number % CANCELLED_EACH === CANCELLED_EACH - 1) {
    await pause(TRY_GAP_MILLISECONDS);
    const result = await caller.cancel(addressOf(0), identifier);
    record({ kind: 'answered', call: 'cancel', identifier, result });
  }
}

async function causeTroubles(
  { seed, agents, entries, troubles = '' }: SoakOptions,
  deployment: SoakDeployment,
  record: (event: SoakEvent) => void,
  until: number,
): Promise<void> {
  const random = seededRandom(seed + 1);
  const busy = new Set<string>();
  const pending: Promise<void>[] = [];
  const names = Object.keys(TROUBLES).filter(name => name.includes(troubles));
  while (performance.now() < until) {
    const name = pickOne(names, random) ?? '';
    const trouble = TROUBLES[name];
    const milliseconds = Math.round(
      random.next() * MAXIMUM_TROUBLE_MILLISECONDS,
    );
    const number = drawNumber(trouble?.target, agents, entries, random);
    const target = `${trouble?.target ?? ''}-${number}`;
    if (trouble !== undefined && !busy.has(target)) {
      busy.add(target);
      record({ kind: 'trouble', name, target, milliseconds });
      pending.push(
        trouble.cause(deployment, number, milliseconds).then(() => {
          busy.delete(target);
        }),
      );
    }
    await pause(random.next() * MAXIMUM_GAP_MILLISECONDS);
  }
  await Promise.all(pending);
}

function drawNumber(
  target: string | undefined,
  agents: number,
  entries: number,
  random: RandomSource,
): number {
  const counts: Readonly<Record<string, number>> = {
    agent: agents,
    minion: agents,
    entry: entries,
  };
  return Math.floor(random.next() * (counts[target ?? ''] ?? 1));
}

/** Waits until all accepted jobs are as they should, and records those that are not. */
async function checkJobs(
  { callerAddresses }: SoakDeployment,
  checker: PromiseChecker,
  record: (event: SoakEvent) => void,
): Promise<void> {
  const caller = new JobCaller(QUEUE.host, QUEUE.prefix);
  const until = performance.now() + FINISH_MILLISECONDS;
  let open = checker.accepted().map(job => ({ job, state: '' }));
  for (let turn = 0; open.length > 0; turn += 1) {
    const address = callerAddresses[turn % callerAddresses.length] ?? '';
    const asked = await Promise.all(
      open.map(async ({ job, state: before }) => {
        const state = await caller.stateOf(address, job.identifier);
        return { job, state: state ?? before };
      }),
    );
    open = asked.filter(
      ({ job, state }) => checker.lackOf(job, state) !== undefined,
    );
    if (performance.now() >= until) {
      break;
    }
    await pause(STATE_INTERVAL_MILLISECONDS);
  }
  for (const { job, state } of open) {
    record({ kind: 'shown', identifier: job.identifier, state });
    checker.breaches.push(checker.lackOf(job, state) ?? '');
  }
  checker.checkUnwanted();
}
