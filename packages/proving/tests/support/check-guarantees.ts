import type { Test } from 'tap';

import type { Deployment } from '../../src/deployment/deployment.js';
import type { KeyedResult } from '../../src/load/keyed-result.js';

/**
 * Checks what must hold after any load with any faults: answers are complete
 * and belong to their requests, no request reported as not run was run, nothing
 * unrepeatable ran twice, no upstream had more than its slots.
 */
export function checkGuarantees(
  t: Test,
  deployment: Deployment,
  results: readonly KeyedResult[],
): void {
  const { requestRecorder, executionRecorder } = deployment;
  const crossed = results.filter(({ outcome }) => outcome === 'crossed');
  t.same(crossed, [], 'every answer is complete and belongs to its request');
  const contradicted = results.filter(
    ({ outcome, requestId }) =>
      outcome === 'not-run' && requestRecorder.hasRun(requestId),
  );
  t.same(contradicted, [], 'no request reported as not run was run');
  t.equal(requestRecorder.duplicateRuns, 0, 'nothing unrepeatable ran twice');
  t.same(executionRecorder.violations, [], 'no overcommitment, no task twice');
  const overload = deployment.vms
    .flatMap(({ host }) => host.upstreams)
    .reduce((sum, upstream) => sum + upstream.requestsAboveSlots, 0);
  t.equal(overload, 0, 'no upstream was given more than its slots');
}
