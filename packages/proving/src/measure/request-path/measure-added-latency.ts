import { Agent } from 'node:http';

import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import { RequestRecorder } from '@basilcourse/platform-stand-in/upstream/request-recorder';
import { UpstreamStandIn } from '@basilcourse/platform-stand-in/upstream/upstream-stand-in';
import { seededBehaviour } from '@basilcourse/platform-stand-in/worker/seeded-behaviour';

import { Deployment } from '../../deployment/deployment.js';
import { publish } from '../../deployment/publish.js';
import { waitUntil } from '../../deployment/wait-until.js';
import { sendRequest } from '../../load/send-request.js';
import { percentile } from '../percentile.js';
import { labelNote } from './label-note.js';

const SEED = 31;

const SLOTS = 8;

const TIMEOUT_MILLISECONDS = 1000;

const WAIT_TIMEOUT_MILLISECONDS = 30_000;

const REQUESTS_PER_PATH = 2000;

/**
 * Median latency of sequential requests, in milliseconds. The first half of the
 * requests warms up the path and is not included.
 */
async function medianOfSequentialRequests(
  address: string,
  path: string,
): Promise<number> {
  const agent = new Agent({ keepAlive: true });
  const times: number[] = [];
  for (let number = 0; number < REQUESTS_PER_PATH; number += 1) {
    const { milliseconds } = await sendRequest({
      address,
      path,
      body: 'label',
      headers: {},
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      agent,
    });
    times.push(milliseconds);
  }
  agent.destroy();
  return percentile(times.slice(REQUESTS_PER_PATH / 2), 0.5);
}

/** Measures the latency that the entry and the agent add to a direct call. */
export async function measureAddedLatency(): Promise<readonly string[]> {
  const behaviour = {
    serviceMilliseconds: () => 0,
    slowdownFactor: () => 1,
    failedResponseShare: 0,
    truncatedResponseShare: 0,
  };
  const upstream = new UpstreamStandIn(
    'direct',
    SLOTS,
    behaviour,
    new RequestRecorder(),
    seededRandom(SEED),
  );
  const direct = await medianOfSequentialRequests(
    await upstream.listen(),
    '/print',
  );
  await upstream.kill();
  const deployment = new Deployment({
    seed: SEED,
    zones: [{ region: 'dalmatia', zone: 'dalmatia-1' }],
    entries: 1,
    workers: 1,
    workersPerRack: 3,
    workerSize: { processors: 16, memoryGigabytes: 62, accelerators: 0 },
    routing: 'expected-time',
    taskBehaviour: seededBehaviour(SEED),
    upstreamBehaviour: () => behaviour,
  });
  await deployment.start();
  const [entry] = deployment.entries;
  if (entry === undefined) {
    throw new Error('the deployment has no entry');
  }
  await publish(entry, labelNote(1));
  await waitUntil(
    () =>
      entry.core.members
        .ofRole('agent')
        .flatMap(({ member }) => member.upstreams).length > 0,
    WAIT_TIMEOUT_MILLISECONDS,
  );
  const processorBefore = process.cpuUsage();
  const throughEntry = await medianOfSequentialRequests(
    entry.callersAddress,
    '/labels/print',
  );
  const { user, system } = process.cpuUsage(processorBefore);
  const processorMicroseconds = (user + system) / REQUESTS_PER_PATH;
  await deployment.kill();
  return [
    direct.toFixed(2),
    throughEntry.toFixed(2),
    (throughEntry - direct).toFixed(2),
    processorMicroseconds.toFixed(0),
  ];
}
