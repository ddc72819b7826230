import fc from 'fast-check';
import t from 'tap';

import { runScenario } from '../../src/invariants/run-scenario.js';
import { scenarioArbitrary } from '../../src/invariants/scenario-arbitrary.js';

/** Fixed for repeatable CI runs; `npm run check-invariants` accepts others. */
const CI_SEED = 2;

const CI_RUNS = 40;

t.test('the invariants hold in a fixed set of runs with faults', async t => {
  const property = fc.asyncProperty(scenarioArbitrary, async scenario => {
    await runScenario(scenario);
  });
  const details = await fc.check(property, { seed: CI_SEED, numRuns: CI_RUNS });
  t.equal(details.failed, false, fc.defaultReportMessage(details) ?? '');
});
