import t from 'tap';

import { HarmTable } from '../../src/pace/harm-table.js';
import { JobTable } from '../../src/state/job-table.js';
import { addJob } from '../support/add-job.js';
import { addMinion } from '../support/add-minion.js';
import { makeStep } from '../support/make-step.js';
import { plan } from '../support/plan.js';

const SERVING = { tailTargetMilliseconds: 50, longRunning: true };

t.test('tasks that serve share minions, so that others are free', t => {
  const table = new JobTable();
  ['a', 'b', 'c'].forEach(name => addMinion(table, name));
  const feed = makeStep({ ...SERVING, image: 'frail', taskCount: 2 });
  addJob(table, 's1', [feed]);
  addJob(table, 's2', [{ ...feed, image: 'sturdy' }]);
  const minions = plan(table).map(start => start.split(' on ')[1]);
  t.equal(minions.length, 4);
  t.equal(new Set(minions).size, 1);
  t.end();
});

t.test('a task that serves keeps from neighbours that harm it', t => {
  const table = new JobTable();
  ['a', 'b'].forEach(name => addMinion(table, name));
  addJob(table, 's1', [makeStep({ ...SERVING, image: 'frail' })], {}, 0);
  addJob(table, 'f', [makeStep({ filling: true, image: 'heavy' })], {}, 0);
  const harms = new HarmTable();
  harms.set('frail', 'heavy', 0.9, 9);
  const minions = plan(table, 0, harms).map(start => start.split(' on ')[1]);
  t.equal(new Set(minions).size, 2);
  t.end();
});
