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

const REQUEST_INTERVAL_MILLISECONDS = 10;

const JOBS = 12;

const MAXIMUM_TIMELINE_LINES = 40;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Sends the demo's requests; every fourth is unrepeatable, with a key. */
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
    await new Promise(resolve =>
      setTimeout(resolve, REQUEST_INTERVAL_MILLISECONDS),
    );
  }
  const results = await Promise.all(sent);
  agent.destroy();
  return results;
}

/** Prints the first scheduling events of all nodes, without request events. */
function printTimeline(deployment: Deployment): void {
  const nodes = [
    ...deployment.entries,
    ...deployment.vms.flatMap(({ agent }) =>
      agent === undefined ? [] : [agent],
    ),
  ];
  const events = mergePages(nodes.map(({ core }) => core.events.since(0)));
  const schedulingEvents = events.filter(
    ({ kind }) => !kind.startsWith('request-'),
  );
  const shown = schedulingEvents.slice(0, MAXIMUM_TIMELINE_LINES);
  for (const { timestamp, process: name, kind, text } of shown) {
    const time = new Date(timestamp.wall).toISOString().slice(11, 23);
    print(`${time} ${name.padEnd(9)} ${kind.padEnd(18)} ${text}`);
  }
  print(`... ${events.length - shown.length} more events`);
}

async function runDemo(): Promise<boolean> {
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
  const [firstEntry] = deployment.entries;
  if (firstEntry === undefined) {
    return false;
  }
  await waitUntil(
    () => firstEntry.core.members.ofRole('agent').length === 4,
    10_000,
  );
  const published = await publish(firstEntry, demoNote(JOBS));
  const { result } = published as { readonly result: string };
  print(`release note: ${result}`);
  const isServiceReachable = await waitUntil(
    () =>
      deployment.vms.flatMap(({ host }) => host.upstreams).length >= 4 &&
      deployment.entries.every(
        ({ core }) =>
          core.members.ofRole('agent').flatMap(({ member }) => member.upstreams)
            .length >= 4,
      ),
    15_000,
  );
  print(`service reachable: ${isServiceReachable}`);
  const results = await sendAll(deployment);
  await waitUntil(() => deployment.executionRecorder.finished >= JOBS, 12_000);
  printTimeline(deployment);
  const count = (outcome: LoadResult['outcome']): number =>
    results.filter(loadResult => loadResult.outcome === outcome).length;
  const lost =
    REQUESTS - count('completed') - count('not-run') - count('unknown');
  const { executionRecorder, requestRecorder } = deployment;
  const duplicated =
    requestRecorder.duplicateRuns +
    executionRecorder.violationCount +
    executionRecorder.duplicateFinishes;
  print(
    `demo: requests ${count('completed')} completed, ${count('not-run')} not run, ${count('unknown')} unknown; batch jobs ${executionRecorder.finished} finished; ${lost} lost, ${duplicated} doubled`,
  );
  if (process.argv.includes('--stay')) {
    await stay(deployment, print);
  }
  await deployment.kill();
  return lost === 0 && duplicated === 0 && executionRecorder.finished === JOBS;
}

runDemo().then(
  passed => {
    process.exit(passed ? 0 : 1);
  },
  (error: unknown) => {
    process.stderr.write(`${String(error)}\n`);
    process.exit(1);
  },
);
