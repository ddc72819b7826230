import t from 'tap';

import { pause } from '../../src/time/pause.js';
import { openLeaderHarness, SPECIFICATION } from '../support/leader-harness.js';
import { QUEUE_SETTINGS } from '../support/queue-settings.js';

t.test('a start is sent only after it is stored', async t => {
  const harness = await openLeaderHarness(t);
  await harness.submit();
  harness.store.unavailable = true;
  harness.report({});
  await pause(150);
  t.same(harness.startedTasks(), []);
  harness.store.unavailable = false;
  await pause(250);
  t.same(harness.startedTasks(), ['job.0.0.0', 'job.0.0.1']);
});

t.test('a stored start is sent once leadership is certain again', async t => {
  const harness = await openLeaderHarness(t);
  await harness.submit();
  harness.store.unavailable = true;
  harness.report({});
  await pause(60);
  harness.store.unavailable = false;
  harness.valid = false;
  await pause(250);
  t.same(harness.startedTasks(), [], 'none while leadership is in doubt');
  harness.valid = true;
  await pause(250);
  t.same(harness.startedTasks(), ['job.0.0.0', 'job.0.0.1']);
});

t.test('a run that was stopped resumes from its checkpoint', async t => {
  const harness = await openLeaderHarness(t);
  await harness.submit();
  harness.report({});
  await pause(150);
  const task = 'job.0.0.0';
  const other = { task: 'job.0.0.1', run: 1, checkpoint: '', percent: 1 };
  harness.report({
    running: [{ ...other, gauge: 0 }],
    ends: [{ number: 1, task, run: 1, reason: 'stopped', checkpoint: 'half' }],
  });
  await pause(250);
  const orders = harness.messages.flatMap(message =>
    message.kind === 'starts' ? message.starts : [],
  );
  t.same(
    orders
      .filter(order => order.task === task)
      .map(({ run, checkpoint }) => ({ run, checkpoint })),
    [
      { run: 1, checkpoint: '' },
      { run: 2, checkpoint: 'half' },
    ],
  );
});

t.test('a refused job never starts', async t => {
  const harness = await openLeaderHarness(t);
  harness.report({});
  harness.store.unavailable = true;
  void harness.leader.answer({
    kind: 'submit',
    specification: { ...SPECIFICATION, identifier: 'earlier' },
    queue: QUEUE_SETTINGS,
  });
  await pause(800);
  const answer = await harness.submit();
  t.equal(answer.kind, 'refused');
  harness.store.unavailable = false;
  await pause(300);
  const call = { identifier: 'job', queue: 'queue' };
  t.same(await harness.leader.answer({ kind: 'status', ...call }), {
    kind: 'no-such-job',
  });
  t.same(
    harness.startedTasks().filter(task => task.startsWith('job.')),
    [],
  );
  t.ok(harness.startedTasks().length > 0, 'the accepted one starts');
});

t.test('a job that is submitted twice is accepted as one job', async t => {
  const harness = await openLeaderHarness(t);
  const answers = await Promise.all([harness.submit(), harness.submit()]);
  t.same(answers, [{ kind: 'accepted' }, { kind: 'accepted' }]);
  harness.report({});
  await pause(150);
  t.equal(harness.startedTasks().length, 2);
});

t.test(
  'a new leader reads jobs, states and cancellations from the store',
  async t => {
    const first = await openLeaderHarness(t);
    await first.submit();
    const call = { identifier: 'job', queue: 'queue' };
    t.same(await first.leader.answer({ kind: 'cancel', ...call }), {
      kind: 'cancelled',
    });
    const second = await openLeaderHarness(t, 2, first.store);
    t.same(await second.leader.answer({ kind: 'status', ...call }), {
      kind: 'status',
      status: 'cancelled',
    });
    t.same(
      await second.leader.answer({
        kind: 'status',
        identifier: 'other',
        queue: 'queue',
      }),
      { kind: 'no-such-job' },
    );
    const again = await first.leader.answer({
      kind: 'submit',
      specification: { ...SPECIFICATION, identifier: 'later' },
      queue: QUEUE_SETTINGS,
    });
    t.same(again, { kind: 'unknown' }, 'the earlier leader accepts nothing');
  },
);

t.test(
  'no job is reported as missing while leadership is in doubt',
  async t => {
    const harness = await openLeaderHarness(t);
    harness.valid = false;
    const call = { kind: 'status', identifier: 'x', queue: 'queue' } as const;
    t.same(await harness.leader.answer(call), { kind: 'not-leading' });
  },
);

t.test(
  'an agent without a minion does not keep the runs of a recorded one, across two changes of leader',
  async t => {
    const first = await openLeaderHarness(t);
    await first.submit();
    first.report({});
    await pause(150);
    t.equal(first.startedTasks().length, 2);
    for (const epoch of [2, 3]) {
      const next = await openLeaderHarness(t, epoch, first.store);
      next.report({ minion: null });
      const other = next.attachAgent('other');
      const stop = next.keepContact();
      other.report({});
      await pause(epoch === 2 ? 300 : 3200);
      t.same(other.startedTasks(), [], `in epoch ${epoch}, while they may run`);
      await pause(epoch === 2 ? 0 : 2200);
      stop();
      const expected = epoch === 2 ? [] : ['job.0.0.0', 'job.0.0.1'];
      t.same(other.startedTasks(), expected, `in epoch ${epoch}`);
      next.leader.close();
    }
  },
);
