import { Agent } from 'node:http';

import { mergePages } from '@basilcourse/foundation/events/merge-pages';
import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import { seededBehaviour } from '@basilcourse/platform-stand-in/worker/seeded-behaviour';

import { Deployment } from '../deployment/deployment.js';
import { publish } from '../deployment/publish.js';
import { waitUntil } from '../deployment/wait-until.js';
import type { LoadResult } from '../load/load-result.js';
import { sendRequest } from '../load/send-request.js';
import { demoNote } from './demo-note.js';
import { stay } from './stay.js';

const SEED = 20261204;

const REQUESTS = 400;

const PAUSE_MILLISECONDS = 10;

const JOBS = 12;

const TIMELINE_ROWS = 40;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function sendAll(deployment: Deployment): Promise<readonly LoadResult[]> {
  const agent = new Agent({ keepAlive: true, maxSockets: 64 });
  const sent: Promise<LoadResult>[] = [];
  for (let index = 0; index < REQUESTS; index += 1) {
    const entry = deployment.entries[index % deployment.entries.length];
    const unrepeatable = index % 4 === 0;
    sent.push(
      sendRequest({
        address: entry?.callersAddress ?? '',
        path: '/labels/certificates',
        body: `crate ${index}`,
        headers: unrepeatable
          ? {
              'basilcourse-unrepeatable': 'true',
              'idempotency-key': `crate-${index}`,
            }
          : {},
        timeoutMilliseconds: 2000,
        agent,
      }),
    );
    await new Promise(resolve => setTimeout(resolve, PAUSE_MILLISECONDS));
  }
  const results = await Promise.all(sent);
  agent.destroy();
  return results;
}

function printTimeline(deployment: Deployment): void {
  const nodes = [
    ...deployment.entries,
    ...deployment.vms.flatMap(({ agent }) =>
      agent === undefined ? [] : [agent],
    ),
  ];
  const events = mergePages(nodes.map(({ core }) => core.events.since(0)));
  const notable = events.filter(({ kind }) => !kind.startsWith('request-'));
  const chosen = notable.slice(0, TIMELINE_ROWS);
  for (const { timestamp, process: name, kind, text } of chosen) {
    const time = new Date(timestamp.wall).toISOString().slice(11, 23);
    print(`${time} ${name.padEnd(9)} ${kind.padEnd(18)} ${text}`);
  }
  print(`... ${events.length - chosen.length} more events`);
}

async function run(): Promise<boolean> {
  const random = seededRandom(SEED);
  const deployment = new Deployment({
    seed: SEED,
    zones: [
      { region: 'dalmatia', zone: 'dalmatia-1' },
      { region: 'dalmatia', zone: 'dalmatia-2' },
    ],
    entries: 2,
    workers: 4,
    workersPerRack: 3,
    workerSize: { processors: 16, memoryGigabytes: 62, accelerators: 0 },
    routing: 'expected-time',
    taskBehaviour: seededBehaviour(SEED),
    upstreamBehaviour: () => ({
      serviceMilliseconds: () => 4 + 8 * random.next(),
      slowdownFactor: () => 1,
      failedResponseShare: 0,
      truncatedResponseShare: 0,
    }),
  });
  await deployment.start();
  const [first] = deployment.entries;
  if (first === undefined) {
    return false;
  }
  await waitUntil(
    () => first.core.members.ofRole('agent').length === 4,
    10_000,
  );
  const published = await publish(first, demoNote(JOBS));
  const { result } = published as { readonly result: string };
  print(`release note: ${result}`);
  const serving = await waitUntil(
    () =>
      deployment.vms.flatMap(({ host }) => host.upstreams).length >= 4 &&
      deployment.entries.every(
        ({ core }) =>
          core.members.ofRole('agent').flatMap(({ member }) => member.upstreams)
            .length >= 4,
      ),
    15_000,
  );
  print(`service in reach: ${serving}`);
  const results = await sendAll(deployment);
  await waitUntil(() => deployment.witness.finished >= JOBS, 12_000);
  printTimeline(deployment);
  const count = (outcome: LoadResult['outcome']): number =>
    results.filter(entry => entry.outcome === outcome).length;
  const lost =
    REQUESTS - count('completed') - count('not-run') - count('unknown');
  const { witness, requestWitness } = deployment;
  const doubled =
    requestWitness.duplicateRuns +
    witness.violationCount +
    witness.duplicateFinishes;
  print(
    `demo: requests ${count('completed')} completed, ${count('not-run')} not run, ${count('unknown')} unknown; batch jobs ${witness.finished} finished; ${lost} lost, ${doubled} doubled`,
  );
  if (process.argv.includes('--stay')) {
    await stay(deployment, print);
  }
  await deployment.kill();
  return lost === 0 && doubled === 0 && witness.finished === JOBS;
}

run().then(
  good => {
    process.exit(good ? 0 : 1);
  },
  (error: unknown) => {
    process.stderr.write(`${String(error)}\n`);
    process.exit(1);
  },
);
