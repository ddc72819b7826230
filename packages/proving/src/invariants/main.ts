import { parseArgs } from 'node:util';

import fc from 'fast-check';

import type { InvariantBrokenError } from './invariant-broken-error.js';
import { runScenario } from './run-scenario.js';
import { scenarioArbitrary } from './scenario-arbitrary.js';

const DEFAULT_RUNS = 100;

const MAXIMUM_TIMELINE_LINES = 80;

async function checkRuns(seed: number, runs: number): Promise<boolean> {
  const startedAt = performance.now();
  const property = fc.asyncProperty(scenarioArbitrary, async scenario => {
    await runScenario(scenario);
  });
  const details = await fc.check(property, {
    seed,
    numRuns: runs,
    endOnFailure: false,
  });
  const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
  if (!details.failed) {
    process.stdout.write(
      `The invariants held in ${runs} runs from seed ${seed} (${seconds} s).\n`,
    );
    return true;
  }
  const error = details.errorInstance as InvariantBrokenError;
  const timeline = (error.timeline as readonly string[] | undefined) ?? [];
  process.stdout.write(
    [
      `Invariant violated after ${details.numRuns} runs (${seconds} s): ${error.message}`,
      `Minimal counterexample: ${JSON.stringify(details.counterexample?.[0])}`,
      ...timeline.slice(-MAXIMUM_TIMELINE_LINES),
      `Reproduce with: npm run check-invariants -- --seed ${seed} --runs ${runs}`,
      '',
    ].join('\n'),
  );
  return false;
}

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    runs: { type: 'string', default: String(DEFAULT_RUNS) },
  },
});
checkRuns(Number(values.seed), Number(values.runs)).then(
  passed => {
    process.exit(passed ? 0 : 1);
  },
  (error: unknown) => {
    process.stderr.write(`${String(error)}\n`);
    process.exit(1);
  },
);
