import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import t from 'tap';

import { makeStep } from '../support/make-step.js';
import { PlanPlay, ROUND_MILLISECONDS } from '../support/plan-play.js';
import type { PlayedJob } from '../support/played-job.js';
import type { PlayedLoad } from '../support/played-load.js';

const MINION_MILLICORES = 16_000;

/** Longest run of the steady load. */
const LONGEST_WORK_MILLISECONDS = 2500;

/** Time after which room is reserved for a task, also while a service is full. */
const PATIENCE_MILLISECONDS = 5000;

/** Part by which the waits of small jobs may rise above those without reservations. */
const MAXIMUM_RISE = 1.1;

interface Case {
  readonly batch: boolean;
  readonly interval: number;
  /** Median and 95th of 100 of the first starts of small jobs, without reservations. */
  readonly before: readonly [number, number];
}

/** Shares of the processor time in use: 44, 60, 69 and 83 in 100. */
const CASES: readonly Case[] = [
  { batch: false, interval: 140, before: [50, 95] },
  { batch: false, interval: 100, before: [50, 95] },
  { batch: false, interval: 85, before: [49, 95] },
  { batch: false, interval: 70, before: [51, 96] },
  { batch: true, interval: 140, before: [50, 95] },
  { batch: true, interval: 100, before: [51, 95] },
  { batch: true, interval: 85, before: [51, 95] },
  { batch: true, interval: 70, before: [51, 97] },
];

/**
 * A steady stream of small jobs, with jobs that need a whole minion between.
 *
 * @param interval - Twice the mean time between small jobs, in milliseconds.
 */
function steadyLoad(
  seed: number,
  batch: boolean,
  interval: number,
): PlayedLoad {
  const random = seededRandom(seed);
  const jobs: PlayedJob[] = [];
  for (let at = 0; at < 60_000; at += interval * random.next()) {
    const small = {
      taskCount: 1 + Math.floor(6 * random.next()),
      processorMillicores: 1000,
      estimatedMilliseconds: 1500,
    };
    const step = makeStep({ ...small, filling: batch && random.next() < 0.5 });
    const workMilliseconds = 500 + 2000 * random.next();
    const name = `small-${jobs.length}`;
    jobs.push({ name, at, workMilliseconds, steps: [step] });
  }
  for (let at = 5000; at < 50_000; at += 5000) {
    const processorMillicores = MINION_MILLICORES;
    const step = makeStep({ processorMillicores, filling: batch });
    const name = `large-${at}`;
    jobs.push({ name, at, workMilliseconds: 3000, steps: [step] });
  }
  const minions = Array.from({ length: 12 }, () => MINION_MILLICORES);
  return { minions, jobs, backoffs: [], milliseconds: 75_000 };
}

function measure({ batch, interval }: Case): {
  readonly median: number;
  readonly ninetyFifth: number;
  readonly longestOfLarge: number;
} {
  const small: number[] = [];
  let longestOfLarge = 0;
  for (let seed = 1; seed <= 5; seed += 1) {
    const load = steadyLoad(seed, batch, interval);
    for (const [name, waited] of new PlanPlay(load).play().firstStarts) {
      if (name.startsWith('large')) {
        longestOfLarge = Math.max(longestOfLarge, waited);
      } else {
        small.push(waited);
      }
    }
  }
  small.sort((first, second) => first - second);
  const at = (share: number): number =>
    small[Math.floor(share * small.length)] ?? 0;
  return { median: at(0.5), ninetyFifth: at(0.95), longestOfLarge };
}

// Guards against LOST of large tasks, and against mending it at the cost of small ones.
for (const played of CASES) {
  const { batch, interval, before } = played;
  const kind = batch ? 'batch' : 'plain';
  t.test(
    `${kind} tasks of a whole minion, small ones each ${interval} ms`,
    t => {
      const { median, ninetyFifth, longestOfLarge } = measure(played);
      t.comment(JSON.stringify({ median, ninetyFifth, longestOfLarge }));
      t.ok(
        longestOfLarge <=
          PATIENCE_MILLISECONDS +
            LONGEST_WORK_MILLISECONDS +
            ROUND_MILLISECONDS,
        `large tasks start within ${longestOfLarge} ms`,
      );
      t.ok(median <= before[0] * MAXIMUM_RISE, `median ${median} ms`);
      t.ok(
        ninetyFifth <= before[1] * MAXIMUM_RISE,
        `95 of 100 within ${ninetyFifth} ms`,
      );
      t.end();
    },
  );
}
