import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import t from 'tap';

import { waitUntil } from '../../src/deployment/wait-until.js';
import { countOutcomes } from '../../src/load/count-outcomes.js';
import { runLoad } from '../../src/load/run-load.js';
import { checkGuarantees } from '../support/check-guarantees.js';
import {
  reachableUpstreams,
  servingDeployment,
} from '../support/serving-deployment.js';

const WAIT_TIMEOUT_MILLISECONDS = 20_000;

t.test(
  'every process is replaced under load and no connection is broken',
  async t => {
    const deployment = await servingDeployment(40);
    const restartState = { restarted: false };
    const restart = async (): Promise<void> => {
      for (let index = 0; index < deployment.vms.length; index += 1) {
        await deployment.replaceAgent(index, true);
        await waitUntil(
          () =>
            deployment.entries.every(entry => reachableUpstreams(entry) >= 4),
          WAIT_TIMEOUT_MILLISECONDS,
        );
      }
      for (const entry of [...deployment.entries]) {
        const replacement = await deployment.addEntry(0);
        await waitUntil(
          () => reachableUpstreams(replacement) >= 4,
          WAIT_TIMEOUT_MILLISECONDS,
        );
        await deployment.stopEntry(entry);
      }
      restartState.restarted = true;
    };
    const restarting = restart();
    const results = [];
    for (let round = 0; !restartState.restarted && round < 100; round += 1) {
      const roundResults = await runLoad({
        requests: 100,
        requestsPerSecond: 200,
        path: '/labels/print',
        timeoutMilliseconds: 5000,
        unrepeatableShare: 0,
        addressOf: number =>
          deployment.entries[number % deployment.entries.length]
            ?.callersAddress ?? '',
        random: seededRandom(41 + round),
      });
      results.push(...roundResults);
    }
    await restarting;
    const counts = countOutcomes(results);
    t.equal(counts.broken, 0, 'no connection was broken');
    t.equal(counts.unknown, 0, 'no outcome is unknown');
    t.ok(counts.completed > 0);
    checkGuarantees(t, deployment, results);
    await deployment.kill();
  },
);
