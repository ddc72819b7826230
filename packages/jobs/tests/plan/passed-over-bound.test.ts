import fc from 'fast-check';
import t from 'tap';

import { makeStep } from '../support/make-step.js';
import { PlanPlay, ROUND_MILLISECONDS } from '../support/plan-play.js';
import type { PlayedLoad } from '../support/played-load.js';

/** Bound of the wait with room for a task twice over, stated in docs/DESIGN.md. */
const BOUND_MILLISECONDS = 2500 + ROUND_MILLISECONDS;

const MINION_MILLICORES = 16_000;

const drawnJobs = fc.array(
  fc.record({
    at: fc.integer({ min: 0, max: 15_000 }),
    workMilliseconds: fc.integer({ min: 100, max: 8000 }),
    millicores: fc.integer({ min: 100, max: MINION_MILLICORES }),
    megabytes: fc.integer({ min: 10, max: 20_000 }),
    taskCount: fc.integer({ min: 1, max: 12 }),
    stepCount: fc.integer({ min: 1, max: 3 }),
    filling: fc.boolean(),
    gang: fc.constantFrom(false, false, false, true),
    parallel: fc.boolean(),
    growth: fc.constantFrom(1, 1, 3),
  }),
  { minLength: 1, maxLength: 60 },
);

const drawnLoads = fc.record({
  minions: fc.array(fc.constantFrom(MINION_MILLICORES, 24_000), {
    minLength: 2,
    maxLength: 8,
  }),
  jobs: drawnJobs,
  backoffs: fc.array(
    fc.tuple(
      fc.integer({ min: 0, max: 20_000 }),
      fc.integer({ min: 0, max: 7 }),
    ),
    { maxLength: 20 },
  ),
});

// Guards against LOST, on any load.
t.test('no job stands still for long with room for a task twice over', t => {
  fc.assert(
    fc.property(drawnLoads, ({ minions, jobs, backoffs }) => {
      const load: PlayedLoad = {
        minions,
        backoffs,
        milliseconds: 20_000,
        jobs: jobs.map(({ stepCount, ...drawn }, number) => ({
          name: `j${number}`,
          at: drawn.at,
          workMilliseconds: drawn.workMilliseconds,
          steps: Array.from({ length: stepCount }, (_, step) =>
            makeStep({
              after: step === 0 || drawn.parallel ? [] : [step - 1],
              taskCount: drawn.gang ? 2 : drawn.taskCount,
              gang: drawn.gang,
              filling: drawn.filling,
              processorMillicores: drawn.millicores,
              memoryMegabytes: drawn.megabytes * drawn.growth ** (2 - step),
              estimatedMilliseconds: drawn.workMilliseconds,
            }),
          ),
        })),
      };
      const { longestStandstill } = new PlanPlay(load).play();
      return longestStandstill <= BOUND_MILLISECONDS;
    }),
    { numRuns: 100, seed: 35 },
  );
  t.end();
});
