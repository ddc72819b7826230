import t from 'tap';

import { InterferenceTable } from '../../src/interference/interference-table.js';
import { JobTable } from '../../src/state/job-table.js';
import { addJob } from '../support/add-job.js';
import { addMinion } from '../support/add-minion.js';
import { firstTask } from '../support/first-task.js';
import { makeStep } from '../support/make-step.js';
import { plan } from '../support/plan.js';
import { startOn } from '../support/start-on.js';

function tableWithInterference(): {
  readonly table: JobTable;
  readonly interference: InterferenceTable;
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
  const interference = new InterferenceTable();
  interference.set('frail', 'heavy', 0.9, 9);
  return { table, interference };
}

const HEAVY = makeStep({
  filling: true,
  image: 'heavy',
  estimatedMilliseconds: 4000,
});

t.test('a batch task that interferes waits for a limited time', t => {
  const { table, interference } = tableWithInterference();
  addJob(table, 'f', [HEAVY], { slackFactor: 3 }, 1);
  t.same(plan(table, 1, interference), []);
  t.same(plan(table, 2400, interference), []);
  t.same(plan(table, 2600, interference), ['f.0.0.0 on a']);
  t.end();
});

t.test('a batch task that has to start to be on time does not wait', t => {
  const { table, interference } = tableWithInterference();
  addJob(table, 'f', [HEAVY], { slackFactor: 1 }, 1);
  t.same(plan(table, 1, interference), ['f.0.0.0 on a']);
  t.end();
});

t.test(
  'a batch task of a late job waits like that of a job with time left',
  t => {
    const { table, interference } = tableWithInterference();
    addJob(table, 'f', [HEAVY], { slackFactor: 1 }, -60_000);
    t.same(plan(table, 1, interference), []);
    t.same(plan(table, 2400, interference), []);
    t.same(plan(table, 2600, interference), ['f.0.0.0 on a']);
    t.end();
  },
);

t.test('a batch task that does not interfere does not wait', t => {
  const { table, interference } = tableWithInterference();
  interference.set('frail', 'heavy', 0, 9);
  addJob(table, 'f', [HEAVY], { slackFactor: 3 }, 1);
  t.same(plan(table, 1, interference), ['f.0.0.0 on a']);
  t.end();
});

t.test('a serving task does not wait for less interference', t => {
  const table = new JobTable();
  const minion = addMinion(table, 'a');
  const batch = addJob(table, 'f', [HEAVY]);
  startOn(minion, firstTask(batch));
  const interference = new InterferenceTable();
  interference.set('frail', 'heavy', 0.9, 9);
  const serving = { image: 'frail', tailTargetMilliseconds: 50 };
  addJob(table, 's', [makeStep({ ...serving, longRunning: true })]);
  t.same(plan(table, 1, interference), ['s.0.0.0 on a']);
  addJob(table, 'old', [makeStep({ ...serving, longRunning: true })], {}, -9e5);
  t.same(plan(table, 1, interference)[0], 's.0.0.0 on a');
  t.equal(
    plan(table, 1, interference).length,
    2,
    'a task of an old job does not wait either',
  );
  t.end();
});
