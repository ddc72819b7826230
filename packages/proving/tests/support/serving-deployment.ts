import type { EntryNode } from '@basilcourse/daemon/node/entry-node';
import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import type { UpstreamBehaviour } from '@basilcourse/platform-stand-in/upstream/upstream-behaviour';
import { seededBehaviour } from '@basilcourse/platform-stand-in/worker/seeded-behaviour';

import { demoNote } from '../../src/demo/demo-note.js';
import { Deployment } from '../../src/deployment/deployment.js';
import type { DeploymentPlan } from '../../src/deployment/deployment-plan.js';
import { publish } from '../../src/deployment/publish.js';
import { waitUntil } from '../../src/deployment/wait-until.js';

const WAIT_TIMEOUT_MILLISECONDS = 30_000;

const MINIONS = 4;

const TWO_ZONES = [
  { region: 'dalmatia', zone: 'dalmatia-1' },
  { region: 'dalmatia', zone: 'dalmatia-2' },
];

/** Counts the upstreams that an entry can reach. */
export function reachableUpstreams(entry: EntryNode): number {
  return entry.core.members
    .ofRole('agent')
    .filter(({ member }) => member.state === 'alive')
    .flatMap(({ member }) => member.upstreams).length;
}

/**
 * Starts a deployment and waits until every entry reaches all upstreams of its
 * service.
 */
export async function servingDeployment(
  seed: number,
  entries = 2,
  behaviour: Partial<UpstreamBehaviour> = {},
  zones: DeploymentPlan['zones'] = TWO_ZONES,
): Promise<Deployment> {
  const random = seededRandom(seed);
  const deployment = new Deployment({
    seed,
    zones,
    entries,
    workers: MINIONS,
    workersPerRack: 2,
    workerSize: { processors: 16, memoryGigabytes: 62, accelerators: 0 },
    routing: 'expected-time',
    taskBehaviour: seededBehaviour(seed),
    upstreamBehaviour: () => ({
      serviceMilliseconds: () => 2 + 6 * random.next(),
      slowdownFactor: () => 1,
      failedResponseShare: 0,
      truncatedResponseShare: 0,
      ...behaviour,
    }),
  });
  await deployment.start();
  const [firstEntry] = deployment.entries;
  if (firstEntry === undefined) {
    throw new Error('the deployment has no entry');
  }
  await publish(firstEntry, demoNote(0));
  const allReachable = await waitUntil(
    () =>
      deployment.entries.every(entry => reachableUpstreams(entry) >= MINIONS),
    WAIT_TIMEOUT_MILLISECONDS,
  );
  if (!allReachable) {
    throw new Error('the entries do not reach all upstreams of the service');
  }
  return deployment;
}
