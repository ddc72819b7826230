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
import { checkPromises } from '../support/check-promises.js';
import { servingDeployment } from '../support/serving-deployment.js';

const PATIENCE_MILLISECONDS = 20_000;

const CALLERS_THAT_LEAVE = 64;

function load(
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

t.test('an upstream that leaves under load gets no new work', async t => {
  const deployment = await servingDeployment(70);
  const busy = load(deployment, 71);
  const hosts = deployment.vms.map(({ host }) => host);
  const findBusy = (): UpstreamHost | undefined =>
    hosts.find(({ upstreams }) =>
      upstreams.some(one => one.receivedRequests > 10),
    );
  await waitUntil(() => findBusy() !== undefined, PATIENCE_MILLISECONDS);
  const host = findBusy();
  const upstream = host?.upstreams[0];
  if (host === undefined || upstream === undefined) {
    t.fail('no upstream is busy');
    return;
  }
  await host.leave(upstream.name);
  // What the agent had let through before the announcement still arrives.
  await waitUntil(() => upstream.runningRequests === 0, PATIENCE_MILLISECONDS);
  const before = upstream.receivedRequests;
  const during = await busy;
  const after = await load(deployment, 72);
  t.equal(
    upstream.receivedRequests,
    before,
    'no request came after its leaving',
  );
  t.equal(countOutcomes(during).completed, during.length);
  t.equal(countOutcomes(after).completed, after.length);
  checkPromises(t, deployment, [...during, ...after]);
  await deployment.kill();
});

t.test('callers that leave in a burst free their slots', async t => {
  const deployment = await servingDeployment(73, 2, {
    serviceMilliseconds: () => 60_000,
    slowdownFactor: () => 1,
  });
  const upstreams = deployment.vms.flatMap(({ host }) => host.upstreams);
  const running = (): number =>
    upstreams.reduce((sum, { runningRequests }) => sum + runningRequests, 0);
  const leaving = Array.from({ length: CALLERS_THAT_LEAVE }, (_, number) => {
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
  });
  t.ok(
    await waitUntil(() => running() === 32, PATIENCE_MILLISECONDS),
    'all slots are taken',
  );
  for (const outgoing of leaving) {
    outgoing.destroy();
  }
  t.ok(
    await waitUntil(() => running() === 0, PATIENCE_MILLISECONDS),
    'every slot is free again',
  );
  const arrived = upstreams.reduce((sum, one) => sum + one.receivedRequests, 0);
  t.ok(arrived <= CALLERS_THAT_LEAVE, 'nothing ran for those who left twice');
  checkPromises(t, deployment, []);
  await deployment.kill();
});
