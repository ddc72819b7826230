import { request } from 'node:http';

import { splitAddress } from '@basilcourse/foundation/net/split-address';
import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import t from 'tap';

import type { Deployment } from '../../src/deployment/deployment.js';
import type { UpstreamHost } from '../../src/deployment/upstream-host.js';
import { waitUntil } from '../../src/deployment/wait-until.js';
import { countOutcomes } from '../../src/load/count-outcomes.js';
import type { KeyedResult } from '../../src/load/keyed-result.js';
import { runLoad } from '../../src/load/run-load.js';
import { checkGuarantees } from '../support/check-guarantees.js';
import { servingDeployment } from '../support/serving-deployment.js';

const WAIT_TIMEOUT_MILLISECONDS = 20_000;

const DISCONNECTING_CALLERS = 64;

function runTestLoad(
  deployment: Deployment,
  seed: number,
): Promise<readonly KeyedResult[]> {
  return runLoad({
    requests: 150,
    requestsPerSecond: 100,
    path: '/labels/print',
    timeoutMilliseconds: 5000,
    maximumInFlight: 16,
    unrepeatableShare: 0,
    addressOf: number => deployment.entries[number % 2]?.callersAddress ?? '',
    random: seededRandom(seed),
  });
}

t.test(
  'an upstream that leaves under load receives no new requests',
  async t => {
    const deployment = await servingDeployment(70);
    const pendingResults = runTestLoad(deployment, 71);
    const hosts = deployment.vms.map(({ host }) => host);
    const findBusyHost = (): UpstreamHost | undefined =>
      hosts.find(({ upstreams }) =>
        upstreams.some(candidate => candidate.receivedRequests > 10),
      );
    await waitUntil(
      () => findBusyHost() !== undefined,
      WAIT_TIMEOUT_MILLISECONDS,
    );
    const host = findBusyHost();
    const upstream = host?.upstreams[0];
    if (host === undefined || upstream === undefined) {
      t.fail('no upstream received requests');
      return;
    }
    await host.announceLeaving(upstream.name);
    // Requests that the agent forwarded before the announcement still arrive.
    await waitUntil(
      () => upstream.runningRequests === 0,
      WAIT_TIMEOUT_MILLISECONDS,
    );
    const receivedBefore = upstream.receivedRequests;
    const during = await pendingResults;
    const after = await runTestLoad(deployment, 72);
    t.equal(
      upstream.receivedRequests,
      receivedBefore,
      'no request arrived after the upstream announced that it leaves',
    );
    t.equal(countOutcomes(during).completed, during.length);
    t.equal(countOutcomes(after).completed, after.length);
    checkGuarantees(t, deployment, [...during, ...after]);
    await deployment.kill();
  },
);

t.test('callers that disconnect in a burst free their slots', async t => {
  const deployment = await servingDeployment(73, 2, {
    serviceMilliseconds: () => 60_000,
    slowdownFactor: () => 1,
  });
  const upstreams = deployment.vms.flatMap(({ host }) => host.upstreams);
  const running = (): number =>
    upstreams.reduce((sum, { runningRequests }) => sum + runningRequests, 0);
  const requests = Array.from(
    { length: DISCONNECTING_CALLERS },
    (_, number) => {
      const address = deployment.entries[number % 2]?.callersAddress ?? '';
      const outgoing = request({
        ...splitAddress(address),
        method: 'POST',
        path: '/labels/print',
        headers: { 'basilcourse-timeout-milliseconds': '120000' },
      });
      outgoing.on('error', () => undefined);
      outgoing.end(`body ${number}`);
      return outgoing;
    },
  );
  t.ok(
    await waitUntil(() => running() === 32, WAIT_TIMEOUT_MILLISECONDS),
    'all slots are in use',
  );
  for (const outgoing of requests) {
    outgoing.destroy();
  }
  t.ok(
    await waitUntil(() => running() === 0, WAIT_TIMEOUT_MILLISECONDS),
    'every slot is free again',
  );
  const receivedRequests = upstreams.reduce(
    (sum, upstream) => sum + upstream.receivedRequests,
    0,
  );
  t.ok(
    receivedRequests <= DISCONNECTING_CALLERS,
    'no request reached an upstream twice',
  );
  checkGuarantees(t, deployment, []);
  await deployment.kill();
});
