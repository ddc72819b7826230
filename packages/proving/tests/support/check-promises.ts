import type { Test } from 'tap';

import type { Deployment } from '../../src/deployment/deployment.js';
import type { KeyedResult } from '../../src/load/keyed-result.js';

/**
 * Checks what must hold after any load with any faults: answers are whole and
 * the caller's own, what was said not to be run was not run, nothing
 * unrepeatable ran twice, no upstream had more than its slots.
 */
export function checkPromises(
  t: Test,
  deployment: Deployment,
  results: readonly KeyedResult[],
): void {
  const { requestWitness, witness } = deployment;
  const crossed = results.filter(({ outcome }) => outcome === 'crossed');
  t.same(crossed, [], 'every answer is whole and the caller’s own');
  const lies = results.filter(
    ({ outcome, requestId }) =>
      outcome === 'not-run' && requestWitness.hasRun(requestId),
  );
  t.same(lies, [], 'what was said not to be run was not run');
  t.equal(requestWitness.duplicateRuns, 0, 'nothing unrepeatable ran twice');
  t.same(witness.violations, [], 'no worker over its size, no task twice');
  const over = deployment.vms
    .flatMap(({ host }) => host.upstreams)
    .reduce((sum, upstream) => sum + upstream.requestsAboveSlots, 0);
  t.equal(over, 0, 'no upstream was given more than its slots');
}
