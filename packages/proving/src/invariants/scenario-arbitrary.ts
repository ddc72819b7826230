import fc from 'fast-check';

import type { Fault, FaultKind } from './fault.js';
import type { Scenario } from './scenario.js';

const MAXIMUM_FAULT_SECONDS = 60;

const MAXIMUM_FAULTS = 12;

/** Kinds of faults that are generated together, so that they often coincide. */
const faultGroups: readonly (readonly FaultKind[])[] = [
  ['cut-process-from-log', 'cut-process-from-workers', 'heal-process'],
  [
    'pause-process',
    'resume-process',
    'cut-process-from-workers',
    'kill-process',
    'add-process',
  ],
  ['kill-worker', 'replace-worker', 'cut-worker', 'heal-worker'],
  [
    'log-down',
    'log-up',
    'lose-log-answers',
    'kill-worker',
    'replace-worker',
    'kill-process',
    'add-process',
  ],
  ['lose-worker-answers', 'break-worker', 'kill-process', 'add-process'],
  [
    'cancel-jobs',
    'add-urgent-job',
    'conflicting-notes',
    'drain-worker',
    'restore-worker',
    'lose-worker-answers',
  ],
];

const allFaultKinds = [...new Set(faultGroups.flat())];

function faultsOfKinds(
  kinds: readonly FaultKind[],
): fc.Arbitrary<readonly Fault[]> {
  const fault = fc.record({
    at: fc.integer({ min: 0, max: MAXIMUM_FAULT_SECONDS }),
    kind: fc.constantFrom(...kinds),
    target: fc.integer({ min: 0, max: 5 }),
  });
  return fc.array(fault, { maxLength: MAXIMUM_FAULTS });
}

const faultsArbitrary = fc
  .constantFrom(...faultGroups, allFaultKinds)
  .chain(kinds => faultsOfKinds(kinds));

/** Generates scenarios with up to twelve faults within a minute. */
export const scenarioArbitrary: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  workers: fc.integer({ min: 2, max: 6 }),
  jobs: fc.integer({ min: 1, max: 14 }),
  faults: faultsArbitrary,
});
