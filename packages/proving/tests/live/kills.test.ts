import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import type { Test } from 'tap';
import t from 'tap';

import type { Deployment } from '../../src/deployment/deployment.js';
import { countOutcomes } from '../../src/load/count-outcomes.js';
import type { KeyedResult } from '../../src/load/keyed-result.js';
import { runLoad } from '../../src/load/run-load.js';
import { checkGuarantees } from '../support/check-guarantees.js';
import { servingDeployment } from '../support/serving-deployment.js';

const REQUESTS = 400;

/** Low enough that a fault cannot affect more than half of the load. */
const MAXIMUM_IN_FLIGHT = 32;

/** Sends a load and injects a fault in the middle of it. */
async function runLoadWithFault(
  deployment: Deployment,
  seed: number,
  fault: () => Promise<void>,
): Promise<readonly KeyedResult[]> {
  let faultInjected: Promise<void> = Promise.resolve();
  const results = await runLoad({
    requests: REQUESTS,
    requestsPerSecond: 100,
    path: '/labels/print',
    timeoutMilliseconds: 3000,
    maximumInFlight: MAXIMUM_IN_FLIGHT,
    unrepeatableShare: 0.5,
    addressOf: number =>
      deployment.entries[number % deployment.entries.length]?.callersAddress ??
      '',
    random: seededRandom(seed),
    beforeRequest: number => {
      if (number === REQUESTS / 2) {
        faultInjected = fault();
      }
    },
  });
  await faultInjected;
  return results;
}

const faults = [
  {
    name: 'an agent is killed',
    maximumBrokenConnections: 0,
    injectFault: (deployment: Deployment) => deployment.replaceAgent(1, false),
  },
  {
    name: 'a VM is lost with its upstream',
    maximumBrokenConnections: 0,
    injectFault: (deployment: Deployment) => deployment.killVm(2),
  },
  {
    name: 'an entry is killed',
    maximumBrokenConnections: REQUESTS,
    injectFault: (deployment: Deployment) =>
      deployment.entries[1] === undefined
        ? Promise.resolve()
        : deployment.killEntry(deployment.entries[1]),
  },
  {
    name: 'an availability zone is lost with its entry and half of the VMs',
    maximumBrokenConnections: REQUESTS,
    injectFault: async (deployment: Deployment) => {
      const [entry] = deployment.entries;
      await Promise.all([deployment.killVm(0), deployment.killVm(2)]);
      if (entry !== undefined) {
        await deployment.killEntry(entry);
      }
    },
  },
  {
    name: 'the log becomes unavailable',
    maximumBrokenConnections: 0,
    injectFault: (deployment: Deployment) => {
      deployment.log.setFaults({ down: true });
      return Promise.resolve();
    },
  },
];

/** Sends a repeatable request for each keyed request that did not complete. */
async function sendFollowUpLoad(
  t: Test,
  deployment: Deployment,
  results: readonly KeyedResult[],
): Promise<void> {
  const incomplete = results.filter(
    ({ outcome, key }) => outcome !== 'completed' && key !== '',
  );
  const [entry] = deployment.entries;
  const followUps = await runLoad({
    requests: incomplete.length,
    requestsPerSecond: 200,
    path: '/labels/print',
    timeoutMilliseconds: 3000,
    unrepeatableShare: 0,
    addressOf: () => entry?.callersAddress ?? '',
    random: seededRandom(1),
  });
  t.equal(followUps.length, incomplete.length);
}

for (const [
  index,
  { name, maximumBrokenConnections, injectFault },
] of faults.entries()) {
  t.test(`${name} in the middle of a load`, async t => {
    const deployment = await servingDeployment(20 + index);
    const results = await runLoadWithFault(deployment, 30 + index, () =>
      injectFault(deployment),
    );
    const counts = countOutcomes(results);
    t.ok(
      counts.broken <= maximumBrokenConnections,
      `${counts.broken} connections were broken`,
    );
    t.ok(counts.completed > REQUESTS / 2, `${counts.completed} completed`);
    await sendFollowUpLoad(t, deployment, results);
    checkGuarantees(t, deployment, results);
    await deployment.kill();
  });
}
