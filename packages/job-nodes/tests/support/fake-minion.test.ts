import type { RunEnd } from '@basilcourse/jobs/model/run-end';
import t from 'tap';

import { blockEventLoop } from './block-event-loop.js';
import { FakeMinion } from './fake-minion.js';
import { makeStep } from './make-specification.js';
import { RunChecker } from './run-checker.js';

const LEASE_MILLISECONDS = 60;

const ORDER = {
  task: 'job.0.0.0',
  run: 1,
  payload: '',
  checkpoint: '',
  traits: {
    image: '',
    tailTargetMilliseconds: 0,
    filling: false,
    processorMillicores: 100,
  },
};

/** Ends that are listed by a poll after the lease has expired unnoticed. */
async function endsAfterBlock(
  workMilliseconds: number,
  runChecker: RunChecker,
): Promise<readonly RunEnd[]> {
  const faults = {
    random: { next: () => 0.5 },
    lateStartShare: () => 0,
    workMilliseconds: () => workMilliseconds,
  };
  const minion = new FakeMinion('agent', runChecker, faults, 4000);
  const { self } = minion;
  await minion.start(self, ORDER, minion.clock + LEASE_MILLISECONDS, 1);
  blockEventLoop(LEASE_MILLISECONDS * 4);
  const poll = {
    fencingToken: 2,
    expiresAt: minion.clock + 1000,
    endsThrough: 0,
    waitMilliseconds: 0,
  };
  const { ends } = await minion.poll(self, poll);
  await minion.poll(self, { ...poll, endsThrough: 1 });
  return ends;
}

function makeChecker(): RunChecker {
  return new RunChecker(() => makeStep(1, 100), 4000);
}

t.test('a run ends with its lease, however late that is noticed', async t => {
  const [end] = await endsAfterBlock(LEASE_MILLISECONDS * 2, makeChecker());
  t.equal(end?.reason, 'lapsed');
});

t.test('an end before the lease expired is not final after it', async t => {
  const runChecker = makeChecker();
  const [end] = await endsAfterBlock(LEASE_MILLISECONDS / 2, runChecker);
  t.equal(end?.reason, 'done');
  t.same([...runChecker.acknowledgedTasks], []);
});
