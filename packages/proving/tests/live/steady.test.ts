import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import t from 'tap';

import { countOutcomes } from '../../src/load/count-outcomes.js';
import { runLoad } from '../../src/load/run-load.js';
import { checkGuarantees } from '../support/check-guarantees.js';
import { servingDeployment } from '../support/serving-deployment.js';

t.test('all requests of a steady load are completed', async t => {
  const deployment = await servingDeployment(1);
  const results = await runLoad({
    requests: 400,
    requestsPerSecond: 400,
    path: '/labels/print',
    timeoutMilliseconds: 5000,
    unrepeatableShare: 0.3,
    addressOf: number => deployment.entries[number % 2]?.callersAddress ?? '',
    random: seededRandom(2),
  });
  t.equal(countOutcomes(results).completed, 400);
  checkGuarantees(t, deployment, results);
  await deployment.kill();
});

t.test(
  'truncated and failed responses of upstreams never reach a caller in part',
  async t => {
    const deployment = await servingDeployment(3, 2, {
      truncatedResponseShare: 0.15,
      failedResponseShare: 0.1,
    });
    const results = await runLoad({
      requests: 300,
      requestsPerSecond: 300,
      path: '/labels/print',
      timeoutMilliseconds: 5000,
      unrepeatableShare: 0.5,
      addressOf: number => deployment.entries[number % 2]?.callersAddress ?? '',
      random: seededRandom(4),
    });
    const counts = countOutcomes(results);
    t.ok(
      counts.unknown > 0,
      'unrepeatable requests with truncated responses have an unknown outcome',
    );
    t.equal(counts.broken, 0);
    checkGuarantees(t, deployment, results);
    await deployment.kill();
  },
);

t.test(
  'a load of three times the capacity is shed and no request is lost',
  async t => {
    const deployment = await servingDeployment(5, 2, {
      serviceMilliseconds: () => 20,
    });
    const capacity = (4 * 8 * 1000) / 20;
    const results = await runLoad({
      requests: 2400,
      requestsPerSecond: capacity * 3,
      path: '/labels/print',
      timeoutMilliseconds: 300,
      unrepeatableShare: 0,
      addressOf: number => deployment.entries[number % 2]?.callersAddress ?? '',
      random: seededRandom(6),
    });
    const counts = countOutcomes(results);
    t.ok(counts['not-run'] > 0, 'some requests are reported as not run');
    t.equal(counts.broken, 0);
    checkGuarantees(t, deployment, results);
    await deployment.kill();
  },
);
