import t from 'tap';

import { HarmTable } from '../../src/pace/harm-table.js';
import { JobTable } from '../../src/state/job-table.js';
import { addJob } from '../support/add-job.js';
import { addMinion } from '../support/add-minion.js';
import { firstTask } from '../support/first-task.js';
import { makeStep } from '../support/make-step.js';
import { plan } from '../support/plan.js';
import { startOn } from '../support/start-on.js';

function harmfulTable(): {
  readonly table: JobTable;
  readonly harms: HarmTable;
} {
  const table = new JobTable();
  const minion = addMinion(table, 'a');
  const serving = addJob(table, 's', [
    makeStep({
      image: 'frail',
      tailTargetMilliseconds: 50,
      longRunning: true,
    }),
  ]);
  startOn(minion, firstTask(serving));
  const harms = new HarmTable();
  harms.set('frail', 'heavy', 0.9, 9);
  return { table, harms };
}

const HEAVY = makeStep({
  filling: true,
  image: 'heavy',
  estimatedMilliseconds: 4000,
});

t.test('a harmful task waits for a while, and no longer', t => {
  const { table, harms } = harmfulTable();
  addJob(table, 'f', [HEAVY], { slackFactor: 3 }, 1);
  t.same(plan(table, 1, harms), []);
  t.same(plan(table, 2400, harms), []);
  t.same(plan(table, 2600, harms), ['f.0.0.0 on a']);
  t.end();
});

t.test('a task that has to start to be on time does not wait', t => {
  const { table, harms } = harmfulTable();
  addJob(table, 'f', [HEAVY], { slackFactor: 1 }, 1);
  t.same(plan(table, 1, harms), ['f.0.0.0 on a']);
  t.end();
});

t.test('a task of a late job waits like one that has time', t => {
  const { table, harms } = harmfulTable();
  addJob(table, 'f', [HEAVY], { slackFactor: 1 }, -60_000);
  t.same(plan(table, 1, harms), []);
  t.same(plan(table, 2400, harms), []);
  t.same(plan(table, 2600, harms), ['f.0.0.0 on a']);
  t.end();
});

t.test('a harmless task does not wait', t => {
  const { table, harms } = harmfulTable();
  harms.set('frail', 'heavy', 0, 9);
  addJob(table, 'f', [HEAVY], { slackFactor: 3 }, 1);
  t.same(plan(table, 1, harms), ['f.0.0.0 on a']);
  t.end();
});

t.test('a task that serves does not wait for a better neighbour', t => {
  const table = new JobTable();
  const minion = addMinion(table, 'a');
  const filling = addJob(table, 'f', [HEAVY]);
  startOn(minion, firstTask(filling));
  const harms = new HarmTable();
  harms.set('frail', 'heavy', 0.9, 9);
  const serving = { image: 'frail', tailTargetMilliseconds: 50 };
  addJob(table, 's', [makeStep({ ...serving, longRunning: true })]);
  t.same(plan(table, 1, harms), ['s.0.0.0 on a']);
  addJob(table, 'old', [makeStep({ ...serving, longRunning: true })], {}, -9e5);
  t.same(plan(table, 1, harms)[0], 's.0.0.0 on a');
  t.equal(plan(table, 1, harms).length, 2, 'nor does one of an old job');
  t.end();
});
