import type { JobSpecification } from '@basilcourse/jobs/model/job-specification';
import t from 'tap';

import { pause } from '../../src/time/pause.js';
import { blockEventLoop } from '../support/block-event-loop.js';
import { JobSimulation } from '../support/job-simulation.js';
import { makeSpecification, makeStep } from '../support/make-specification.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

/** From this seed on, the minions list few of their ended runs at a time. */
const FIRST_SEED_WITH_SHORT_LISTS = 7;

const SHORT_LIST = 2;

const FAULT_PHASE_MILLISECONDS = 6000;

const FINISH_TIMEOUT_MILLISECONDS = 15_000;

function makeJob(seed: number, number: number): JobSpecification {
  const step = makeStep(2 + (number % 4), 400 + 150 * (number % 5));
  return makeSpecification(`job-${seed}-${number}`, [
    step,
    { ...step, after: [0] },
  ]);
}

/** Injects one fault, chosen at random. */
async function injectFault(simulation: JobSimulation): Promise<void> {
  const vm =
    simulation.vms[
      Math.floor(simulation.random.next() * simulation.vms.length)
    ];
  if (vm === undefined) {
    return;
  }
  const faults: readonly (() => Promise<void> | void)[] = [
    () => {
      simulation.changeLeader();
    },
    () => {
      simulation.restartAgent(vm);
    },
    () => {
      simulation.crashMinion(vm);
    },
    () => {
      simulation.disconnectAgent(vm, 200 + simulation.random.next() * 2500);
    },
    () => {
      simulation.lateShare = simulation.random.next() < 0.5 ? 0.2 : 0;
    },
    () => {
      simulation.store.lostAnswerShare =
        simulation.random.next() < 0.5 ? 0.3 : 0;
    },
    () => {
      blockEventLoop(simulation.random.next() * 2000);
    },
    async () => {
      simulation.store.unavailable = true;
      await pause(simulation.random.next() * 1200);
      simulation.store.unavailable = false;
    },
  ];
  await faults[Math.floor(simulation.random.next() * faults.length)]?.();
}

async function isCompleted(
  simulation: JobSimulation,
  job: string,
): Promise<boolean> {
  const answer = await simulation.callLeader({
    kind: 'status',
    identifier: job,
    queue: 'queue',
  });
  return answer.kind === 'status' && answer.status === 'completed';
}

for (const seed of SEEDS) {
  t.test(
    `each task runs once, in order and within capacity: seed ${seed}`,
    async t => {
      const simulation = new JobSimulation(seed, 4);
      t.teardown(() => {
        simulation.close();
      });
      if (seed >= FIRST_SEED_WITH_SHORT_LISTS) {
        for (const { minion } of simulation.vms) {
          minion.maximumEndsListed = SHORT_LIST;
        }
      }
      const jobs = Array.from({ length: 16 }, (_, index) =>
        makeJob(seed, index),
      );
      const submitted = jobs.map(async (job, index) => {
        await pause(index * 300);
        await simulation.submit(job);
      });
      const until = performance.now() + FAULT_PHASE_MILLISECONDS;
      while (performance.now() < until) {
        await pause(100 + simulation.random.next() * 500);
        await injectFault(simulation);
      }
      simulation.lateShare = 0;
      simulation.store.lostAnswerShare = 0;
      await Promise.all(submitted);
      const finishBy = performance.now() + FINISH_TIMEOUT_MILLISECONDS;
      const open = new Set(jobs.map(({ identifier }) => identifier));
      while (open.size > 0 && performance.now() < finishBy) {
        for (const job of open) {
          if (await isCompleted(simulation, job)) {
            open.delete(job);
          }
        }
        await pause(50);
      }
      t.same([...open], [], 'every job was completed');
      t.same(simulation.runChecker.violations, [], 'no invariant was violated');
      t.ok(
        simulation.runChecker.starts >= 100,
        `${simulation.runChecker.starts} starts`,
      );
    },
  );
}
t.jobs = SEEDS.length;
