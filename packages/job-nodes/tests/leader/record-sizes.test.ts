import type { RunningTask } from '@basilcourse/jobs/model/running-task';
import t from 'tap';

import { pause } from '../../src/time/pause.js';
import { openLeaderHarness } from '../support/leader-harness.js';
import { makeSpecification, makeStep } from '../support/make-specification.js';
import { QUEUE_SETTINGS } from '../support/queue-settings.js';

const WIDE_TASKS = 9600;

const WIDE_STEP = {
  ...makeStep(WIDE_TASKS, 0),
  memoryMegabytes: 0,
  checkpointing: true,
};

// Guards against a wide job whose progress keeps all others from being stored.
t.test('a wide job with checkpoints stops no other job', async t => {
  const harness = await openLeaderHarness(t);
  await harness.leader.answer({
    kind: 'submit',
    specification: makeSpecification('wide', [WIDE_STEP]),
    queue: QUEUE_SETTINGS,
  });
  harness.report({});
  for (let tries = 0; tries < 100; tries += 1) {
    if (harness.startedTasks().length === WIDE_TASKS) {
      break;
    }
    await pause(50);
  }
  t.equal(harness.startedTasks().length, WIDE_TASKS);
  const running: readonly RunningTask[] = harness
    .startedTasks()
    .map((task, index) => ({
      task,
      run: 1,
      checkpoint: index.toString(16).padStart(16, '0'),
      percent: 10,
      gauge: 1,
    }));
  harness.report({ running });
  const ends = running.slice(0, 400).map(({ task, run }, index) => ({
    number: index + 1,
    task,
    run,
    reason: 'failed' as const,
    checkpoint: '',
  }));
  harness.report({ running: running.slice(400), ends });
  t.match(await harness.submit(), { kind: 'accepted' });
  t.equal(harness.store.refusals, 0);
  const largest = Math.max(
    ...(await harness.store.readAll()).map(({ value }) => value?.length ?? 0),
  );
  t.ok(largest <= harness.store.limits.recordBytes, `${largest} bytes`);
});

// Guards against a job that no record holds and that stops all others.
t.test('a job that no record holds is refused, others are not', async t => {
  const harness = await openLeaderHarness(t);
  const specification = {
    ...makeSpecification('large', [makeStep(1, 1)]),
    payload: 'x'.repeat(harness.store.limits.recordBytes),
  };
  const call = {
    kind: 'submit',
    specification,
    queue: QUEUE_SETTINGS,
  } as const;
  t.match(await harness.leader.answer(call), { kind: 'refused' });
  t.match(await harness.submit(), { kind: 'accepted' });
  t.equal(harness.store.refusals, 0);
  const question = {
    kind: 'status',
    identifier: 'large',
    queue: 'queue',
  } as const;
  t.same(await harness.leader.answer(question), { kind: 'no-such-job' });
});

t.test('a job that the store refuses after all never runs', async t => {
  const harness = await openLeaderHarness(t);
  harness.report({});
  harness.store.limits = { ...harness.store.limits, recordBytes: 1000 };
  const specification = {
    ...makeSpecification('large', [makeStep(2, 1)]),
    payload: 'x'.repeat(2000),
  };
  const call = {
    kind: 'submit',
    specification,
    queue: QUEUE_SETTINGS,
  } as const;
  const [large, small] = await Promise.all([
    harness.leader.answer(call),
    harness.submit(),
  ]);
  t.match(large, { kind: 'refused' });
  t.match(small, { kind: 'accepted' });
  await pause(200);
  t.same([...harness.startedTasks()].sort(), ['job.0.0.0', 'job.0.0.1']);
});

t.test('a job whose progress the store refuses fails alone', async t => {
  const harness = await openLeaderHarness(t);
  const specification = makeSpecification('odd', [makeStep(20, 1)]);
  const queue = QUEUE_SETTINGS;
  const question = {
    kind: 'status',
    identifier: 'odd',
    queue: 'queue',
  } as const;
  await harness.leader.answer({ kind: 'submit', specification, queue });
  harness.store.refuses = ({ key, value }) =>
    key === 'progress/odd' && value?.includes('"a"') === true;
  harness.report({});
  await pause(300);
  t.match(await harness.submit(), { kind: 'accepted' });
  t.same(await harness.leader.answer(question), {
    kind: 'status',
    status: 'failed',
  });
  await pause(200);
  t.notOk(
    harness.startedTasks().some(task => task.startsWith('odd.')),
    'none of its starts has left',
  );
  const next = await openLeaderHarness(t, 2, harness.store);
  t.match(await next.leader.answer(question), { status: 'failed' });
});
