import type { JobSpecification } from '@basilcourse/jobs/model/job-specification';
import t from 'tap';

import { pause } from '../../src/time/pause.js';
import { JobWorld } from '../support/job-world.js';
import { makeSpecification, makeStep } from '../support/make-specification.js';

const SEEDS = [1, 2, 3, 4, 5, 6];

const FAULTS_FOR_MILLISECONDS = 6000;

const FINISH_MILLISECONDS = 15_000;

function makeJob(seed: number, number: number): JobSpecification {
  const step = makeStep(2 + (number % 4), 400 + 150 * (number % 5));
  return makeSpecification(`job-${seed}-${number}`, [
    step,
    { ...step, after: [0] },
  ]);
}

/** One drawn fault. */
async function doFault(world: JobWorld): Promise<void> {
  const place =
    world.agents[Math.floor(world.random.next() * world.agents.length)];
  if (place === undefined) {
    return;
  }
  const faults: readonly (() => Promise<void> | void)[] = [
    () => {
      world.changeLeader();
    },
    () => {
      world.restartAgent(place);
    },
    () => {
      world.crashMinion(place);
    },
    () => {
      world.cutAgent(place, 200 + world.random.next() * 2500);
    },
    () => {
      world.lateShare = world.random.next() < 0.5 ? 0.2 : 0;
    },
    () => {
      world.store.lostShare = world.random.next() < 0.5 ? 0.3 : 0;
    },
    async () => {
      world.store.down = true;
      await pause(world.random.next() * 1200);
      world.store.down = false;
    },
  ];
  await faults[Math.floor(world.random.next() * faults.length)]?.();
}

async function isCompleted(world: JobWorld, job: string): Promise<boolean> {
  const answer = await world.ask({
    kind: 'status',
    identifier: job,
    queue: 'queue',
  });
  return answer.kind === 'status' && answer.status === 'completed';
}

for (const seed of SEEDS) {
  t.test(`jobs run once, in order and in their room: seed ${seed}`, async t => {
    const world = new JobWorld(seed, 4);
    t.teardown(() => {
      world.close();
    });
    const jobs = Array.from({ length: 16 }, (_, index) => makeJob(seed, index));
    const submitted = jobs.map(async (job, index) => {
      await pause(index * 300);
      await world.submit(job);
    });
    const until = performance.now() + FAULTS_FOR_MILLISECONDS;
    while (performance.now() < until) {
      await pause(100 + world.random.next() * 500);
      await doFault(world);
    }
    world.lateShare = 0;
    world.store.lostShare = 0;
    await Promise.all(submitted);
    const finishBy = performance.now() + FINISH_MILLISECONDS;
    const open = new Set(jobs.map(({ identifier }) => identifier));
    while (open.size > 0 && performance.now() < finishBy) {
      for (const job of open) {
        if (await isCompleted(world, job)) {
          open.delete(job);
        }
      }
      await pause(50);
    }
    t.same([...open], [], 'every job was completed');
    t.same(world.witness.wrongs, [], 'nothing wrong was seen');
    t.ok(world.witness.starts >= 100, `${world.witness.starts} starts`);
  });
}
t.jobs = SEEDS.length;
