import t from 'tap';

import { InterferenceTable } from '../../src/interference/interference-table.js';
import { JobTable } from '../../src/state/job-table.js';
import { addJob } from '../support/add-job.js';
import { addMinion } from '../support/add-minion.js';
import { firstTask } from '../support/first-task.js';
import { makeStep } from '../support/make-step.js';
import { plan } from '../support/plan.js';
import { startOn } from '../support/start-on.js';

t.test('never exceeds the capacity of a minion', t => {
  const table = new JobTable();
  addMinion(table, 'a');
  addJob(table, 'j', [makeStep({ taskCount: 9 })]);
  t.equal(plan(table).length, 4);
  t.end();
});

t.test('counts a run until it has ended, also while it is being stopped', t => {
  const table = new JobTable();
  const minion = addMinion(table, 'a');
  const old = addJob(table, 'old', [makeStep({ processorMillicores: 3500 })]);
  startOn(minion, firstTask(old));
  firstTask(old).stopping = true;
  addJob(table, 'new', [makeStep()]);
  t.same(plan(table), []);
  t.end();
});

t.test('counts the memory of batch tasks, but not their processor time', t => {
  const table = new JobTable();
  addMinion(table, 'a');
  const batch = { filling: true, processorMillicores: 100 };
  addJob(table, 'f', [
    makeStep({ ...batch, taskCount: 20, memoryMegabytes: 300 }),
  ]);
  t.equal(plan(table).length, 3);
  t.end();
});

t.test('starts a step only after the steps in its `after` list', t => {
  const table = new JobTable();
  addMinion(table, 'a');
  const job = addJob(table, 'j', [makeStep(), makeStep({ after: [0] })]);
  t.same(plan(table), ['j.0.0.0 on a']);
  firstTask(job).end('done');
  t.same(plan(table), ['j.0.1.0 on a']);
  t.end();
});

t.test('respects labels, services and the maximum of tasks per minion', t => {
  const table = new JobTable();
  addMinion(table, 'a');
  addMinion(table, 'b', { labels: ['other', 'rack'] });
  addMinion(table, 'c', { service: 'elsewhere' });
  addJob(table, 'label', [makeStep({ requiredLabel: 'other' })]);
  t.same(plan(table), ['label.0.0.0 on b']);
  table.jobs.clear();
  addJob(table, 'apart', [makeStep({ taskCount: 4, maximumPerMinion: 1 })]);
  t.equal(plan(table).length, 2);
  t.end();
});

t.test(
  'starts nothing on a minion that drains, backs off or is disconnected',
  t => {
    const table = new JobTable();
    addMinion(table, 'draining', { draining: true });
    addMinion(table, 'unreachable', { silent: true });
    addMinion(table, 'resting').backoffUntil = 10;
    addMinion(table, 'silent').connected = false;
    addJob(table, 'j', [makeStep()]);
    t.same(plan(table, 9), []);
    t.same(plan(table, 10), ['j.0.0.0 on resting']);
    t.end();
  },
);

t.test('prefers the rack of the data', t => {
  const table = new JobTable();
  addMinion(table, 'far');
  const near = addMinion(table, 'near', { labels: ['kind', 'data'] });
  const busy = addJob(table, 'busy', [makeStep({ processorMillicores: 2000 })]);
  startOn(near, firstTask(busy));
  addJob(table, 'j', [makeStep({ dataRack: 'data' })]);
  t.same(plan(table), ['j.0.0.0 on near']);
  t.end();
});

t.test('starts either all tasks of a gang or none', t => {
  const table = new JobTable();
  addMinion(table, 'a');
  addJob(table, 'g', [makeStep({ gang: true, taskCount: 5 })]);
  t.same(plan(table), []);
  addMinion(table, 'b');
  t.equal(plan(table).length, 5);
  t.end();
});

t.test('starts a job that can be on time before a late one', t => {
  const table = new JobTable();
  addMinion(table, 'a', {
    capacity: {
      processorMillicores: 1000,
      memoryMegabytes: 1000,
      accelerators: 0,
    },
  });
  addJob(table, 'late', [makeStep()], {}, -60_000);
  addJob(table, 'soon', [makeStep()], { priority: 1 }, 0);
  t.same(plan(table), ['soon.0.0.0 on a']);
  t.end();
});

t.test('keeps batch tasks away from serving tasks that they slow down', t => {
  const table = new JobTable();
  const sensitive = addMinion(table, 'harmed');
  const other = addMinion(table, 'other');
  const step = { tailTargetMilliseconds: 50, longRunning: true };
  const first = addJob(table, 's1', [makeStep({ ...step, image: 'frail' })]);
  const second = addJob(table, 's2', [
    makeStep({ ...step, image: 'sturdy', processorMillicores: 2000 }),
  ]);
  startOn(sensitive, firstTask(first));
  startOn(other, firstTask(second));
  const interference = new InterferenceTable();
  interference.set('frail', 'heavy', 0.5, 9);
  interference.set('sturdy', 'heavy', 0, 9);
  addJob(table, 'f', [makeStep({ filling: true, image: 'heavy' })]);
  t.same(plan(table, 0, interference), ['f.0.0.0 on other']);
  t.end();
});
