import t from 'tap';

import { applyReport } from '../../src/reconcile/apply-report.js';
import { JobTable } from '../../src/state/job-table.js';
import { addJob } from '../support/add-job.js';
import { addMinion } from '../support/add-minion.js';
import { firstTask } from '../support/first-task.js';
import { makeEnd } from '../support/make-end.js';
import { makeReport } from '../support/make-report.js';
import { makeRunning } from '../support/make-running.js';
import { makeStep } from '../support/make-step.js';
import { plan } from '../support/plan.js';
import { startOn } from '../support/start-on.js';

// Guards against a second start of a task that the next life runs.
t.test(
  'a run stays where it is listed, though its order was for another',
  t => {
    const table = new JobTable();
    const former = addMinion(table, 'former');
    const next = addMinion(table, 'next');
    const task = firstTask(addJob(table, 'j', [makeStep()]));
    startOn(former, task);
    const running = [makeRunning(task.name, 1)];
    const { stops } = applyReport(table, next, makeReport({ running }), 10);
    t.same(stops, []);
    t.ok(task.isOn('next', 1));
    t.equal(former.runs.size, 0);
    t.equal(table.removeMinion('former', 20).length, 0);
    t.same(plan(table, 20), []);
    t.ok(table.changed.get('j')?.has(task), 'the next leader reads it');
    t.end();
  },
);

t.test('an end counts where it is listed', t => {
  const table = new JobTable();
  const former = addMinion(table, 'former');
  const next = addMinion(table, 'next');
  const job = addJob(table, 'j', [makeStep()]);
  const task = firstTask(job);
  startOn(former, task);
  const ends = [makeEnd(task.name, 1, 'done')];
  applyReport(table, next, makeReport({ ends }), 10);
  t.equal(job.status, 'completed');
  t.equal(task.placements, 0);
  t.end();
});

t.test('a run that was given up is taken up again where it is listed', t => {
  const table = new JobTable();
  const minion = addMinion(table, 'a');
  const task = firstTask(addJob(table, 'j', [makeStep()]));
  startOn(minion, task);
  table.removeMinion('a', 5);
  const again = addMinion(table, 'a');
  const running = [makeRunning(task.name, 1)];
  const { stops } = applyReport(table, again, makeReport({ running }), 10);
  t.same(stops, []);
  t.ok(task.isOn('a', 1));
  t.end();
});

// Guards against a start beside an earlier run that is being stopped.
t.test('a task waits until its earlier run has ended', t => {
  const table = new JobTable();
  const minion = addMinion(table, 'a');
  const task = firstTask(addJob(table, 'j', [makeStep()]));
  startOn(minion, task);
  const other = addMinion(table, 'b');
  table.removeMinion('a', 5);
  startOn(other, task);
  const back = addMinion(table, 'a');
  const running = [makeRunning(task.name, 1)];
  const { stops } = applyReport(table, back, makeReport({ running }), 10);
  t.same(stops, [{ task: task.name, run: 1 }]);
  const ends = [makeEnd(task.name, 2, 'failed')];
  applyReport(table, other, makeReport({ ends }), 20);
  t.same(plan(table, 500), [], 'run 1 is still there');
  const stopped = [makeEnd(task.name, 1, 'stopped')];
  applyReport(table, back, makeReport({ ends: stopped }), 510);
  t.equal(plan(table, 520).length, 1);
  t.end();
});
