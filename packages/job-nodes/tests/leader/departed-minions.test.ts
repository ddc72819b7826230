import t from 'tap';

import { pause } from '../../src/time/pause.js';
import type { LeaderHarness } from '../support/leader-harness.js';
import { openLeaderHarness } from '../support/leader-harness.js';

const FORMER = 'agent|minion|1';

const TASKS = ['job.0.0.0', 'job.0.0.1'];

/** A job of two tasks on the minion of the first agent, and another minion. */
async function openStartedJob(harness: LeaderHarness): Promise<void> {
  await harness.submit();
  harness.report({});
  await pause(150);
}

// Guards against a task given away while the next life may carry out its start.
t.test('an unsettled task of a life that ended is kept', async t => {
  const harness = await openLeaderHarness(t);
  await openStartedJob(harness);
  t.same(harness.startedTasks(), TASKS);
  const other = harness.attachAgent('other');
  other.report({});
  const [unsettled = ''] = TASKS;
  const gone = [FORMER];
  harness.report({ minion: null, gone, unsettled: [unsettled] });
  await pause(100);
  t.same(other.startedTasks(), TASKS.slice(1), 'the other one is given away');
  harness.report({ minion: null, gone, unsettled: [unsettled] });
  await pause(100);
  t.same(other.startedTasks(), TASKS.slice(1));
  harness.report({ minion: null, gone });
  await pause(100);
  t.same([...other.startedTasks()].sort(), TASKS, 'once it is settled');
});

// Guards against a second start of a task as its life is reported as ended.
t.test('a task that the next life lists is not started elsewhere', async t => {
  const harness = await openLeaderHarness(t);
  await openStartedJob(harness);
  const other = harness.attachAgent('other');
  other.report({});
  const agent = harness.attachAgent('agent');
  const [listed = ''] = TASKS;
  const run = { task: listed, run: 1, checkpoint: '', percent: 1, gauge: 0 };
  agent.report({
    minion: agent.describe('agent|minion|2'),
    gone: [FORMER],
    running: [run],
  });
  await pause(150);
  const started = [...other.startedTasks(), ...agent.startedTasks()];
  t.same(started, TASKS.slice(1));
  t.notOk(agent.messages.some(({ kind }) => kind === 'stops'));
});
