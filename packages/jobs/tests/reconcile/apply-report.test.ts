import t from 'tap';

import type { EndReason } from '../../src/model/end-reason.js';
import { CandidateMinion } from '../../src/plan/candidate-minion.js';
import { applyReport } from '../../src/reconcile/apply-report.js';
import { JobTable } from '../../src/state/job-table.js';
import { addJob } from '../support/add-job.js';
import { addMinion } from '../support/add-minion.js';
import { firstTask } from '../support/first-task.js';
import { makeEnd } from '../support/make-end.js';
import { makeReport } from '../support/make-report.js';
import { makeRunning } from '../support/make-running.js';
import { makeStep } from '../support/make-step.js';
import { startOn } from '../support/start-on.js';

t.test('the end of a current run sets the phase of its task', t => {
  const cases: readonly [EndReason, string, number][] = [
    ['done', 'done', 0],
    ['failed', 'waiting', 1],
    ['stopped', 'waiting', 0],
    ['lapsed', 'waiting', 0],
    ['broken', 'waiting', 0],
    ['alone', 'waiting', 0],
  ];
  for (const [reason, phase, failedRuns] of cases) {
    const table = new JobTable();
    const minion = addMinion(table, 'a');
    const task = firstTask(addJob(table, 'j', [makeStep()]));
    startOn(minion, task);
    const ends = [makeEnd(task.name, 1, reason)];
    applyReport(table, minion, makeReport({ ends }), 0);
    t.equal(task.phase, phase, `${reason}: the phase`);
    t.equal(task.failedRuns, failedRuns, `${reason}: failed runs`);
    t.equal(minion.runs.size, 0, `${reason}: the resources are released`);
    t.ok(table.changed.has('j'), `${reason}: the change is to be stored`);
  }
  t.end();
});

t.test('only failed runs count as attempts of a task', t => {
  const table = new JobTable();
  const minion = addMinion(table, 'a');
  const job = addJob(table, 'j', [makeStep()]);
  const task = firstTask(job);
  for (const reason of ['lapsed', 'failed', 'stopped', 'failed'] as const) {
    t.equal(job.status === 'failed', false);
    startOn(minion, task);
    const ends = [makeEnd(task.name, task.run, reason)];
    applyReport(table, minion, makeReport({ ends }), 0);
  }
  t.equal(job.status, 'failed');
  t.end();
});

t.test('a long-running task starts again after any end', t => {
  for (const reason of ['done', 'failed', 'lapsed'] as const) {
    const table = new JobTable();
    const minion = addMinion(table, 'a');
    const job = addJob(table, 'j', [makeStep({ longRunning: true })]);
    const task = firstTask(job);
    for (let run = 1; run <= 5; run += 1) {
      startOn(minion, task);
      const ends = [makeEnd(task.name, run, reason)];
      applyReport(table, minion, makeReport({ ends }), 0);
    }
    t.equal(task.phase, 'waiting', reason);
    t.equal(job.ended, undefined, reason);
  }
  t.end();
});

t.test('the end of an earlier run does not affect a later one', t => {
  const table = new JobTable();
  const old = addMinion(table, 'old');
  const minion = addMinion(table, 'new');
  const task = firstTask(addJob(table, 'j', [makeStep()]));
  startOn(old, task);
  table.removeMinion('old', 0);
  startOn(minion, task);
  const ends = [makeEnd(task.name, 1, 'done')];
  applyReport(table, table.getOrAddMinion('old', 0), makeReport({ ends }), 0);
  t.equal(task.phase, 'assigned');
  t.equal(task.run, 2);
  t.end();
});

t.test('the success of an abandoned run counts if no later run started', t => {
  const table = new JobTable();
  const minion = addMinion(table, 'a');
  const job = addJob(table, 'j', [makeStep()]);
  const task = firstTask(job);
  startOn(minion, task);
  table.removeMinion('a', 0);
  const ends = [makeEnd(task.name, 1, 'done')];
  applyReport(table, table.getOrAddMinion('a', 0), makeReport({ ends }), 0);
  t.equal(job.status, 'completed');
  t.end();
});

t.test('the success of an abandoned run replaces a start not sent yet', t => {
  const table = new JobTable();
  const minion = addMinion(table, 'a');
  const other = addMinion(table, 'b');
  const task = firstTask(addJob(table, 'j', [makeStep()]));
  startOn(minion, task);
  minion.removeRun(task.name, 1);
  task.release(0);
  startOn(other, task);
  task.startSent = false;
  const ends = [makeEnd(task.name, 1, 'done')];
  applyReport(table, minion, makeReport({ ends }), 0);
  t.equal(task.phase, 'done');
  t.equal(other.runs.size, 0, 'its resources are released');
  t.equal(table.jobs.get('j')?.status, 'completed');
  t.end();
});

t.test('only an order of the current stream may still begin', t => {
  const table = new JobTable();
  const minion = addMinion(table, 'a');
  const task = firstTask(addJob(table, 'j', [makeStep()]));
  startOn(minion, task, 7);
  applyReport(table, minion, makeReport({ fencingToken: 7 }), 0);
  t.equal(task.phase, 'assigned');
  const outcome = applyReport(
    table,
    minion,
    makeReport({ fencingToken: 8 }),
    0,
  );
  t.equal(task.phase, 'waiting');
  t.same(outcome.neverBegan, [task.name]);
  t.equal(task.run, 1, 'the run number is not used again');
  t.end();
});

// Guards against tasks that run again though they are done.
t.test('a run beyond the listed ends may have ended', t => {
  const table = new JobTable();
  const minion = addMinion(table, 'a');
  const job = addJob(table, 'j', [makeStep({ taskCount: 2 })]);
  startOn(minion, firstTask(job, 0, 0), 7);
  startOn(minion, firstTask(job, 0, 1), 7);
  const fields = { fencingToken: 8, hasMoreEnds: true };
  const first = [makeEnd('j.0.0.0', 1, 'done')];
  applyReport(table, minion, makeReport({ ...fields, ends: first }), 0);
  t.equal(firstTask(job, 0, 0).phase, 'done');
  t.equal(firstTask(job, 0, 1).phase, 'assigned', 'its end may follow');
  t.equal(minion.runs.size, 1, 'it may use resources');
  const others = [{ ...makeEnd('j.0.0.1', 1, 'done'), number: 2 }];
  applyReport(table, minion, makeReport({ fencingToken: 8, ends: others }), 0);
  t.equal(job.status, 'completed');
  t.equal(firstTask(job, 0, 1).run, 1, 'it ran once');
  t.end();
});

t.test(
  'a run that is not assigned is stopped, and counted until it ends',
  t => {
    const table = new JobTable();
    const minion = addMinion(table, 'a');
    const job = addJob(table, 'j', [makeStep()]);
    const task = firstTask(job);
    startOn(addMinion(table, 'b'), task);
    const running = [
      makeRunning(task.name, 9),
      makeRunning('unknown.0.0.0', 1),
    ];
    const outcome = applyReport(table, minion, makeReport({ running }), 0);
    t.same(outcome.stops, [
      { task: task.name, run: 9 },
      { task: 'unknown.0.0.0', run: 1 },
    ]);
    t.equal(new CandidateMinion(minion).processorMillicores, 3000);
    t.end();
  },
);

t.test('a job runs once a run is reported, not when it is assigned', t => {
  const table = new JobTable();
  const minion = addMinion(table, 'a');
  const job = addJob(table, 'j', [makeStep()]);
  const task = firstTask(job);
  startOn(minion, task);
  t.equal(job.status, 'queued');
  const running = [makeRunning(task.name, 1)];
  applyReport(table, minion, makeReport({ running }), 0);
  t.equal(job.status, 'running');
  t.end();
});

t.test(
  'a refusal releases the task, and the minion gets no starts for a while',
  t => {
    const table = new JobTable();
    const minion = addMinion(table, 'a');
    const task = firstTask(addJob(table, 'j', [makeStep()]));
    startOn(minion, task);
    const refusals = [{ task: task.name, run: 1, reason: 'room' }];
    applyReport(table, minion, makeReport({ refusals }), 50);
    t.equal(task.phase, 'waiting');
    t.ok(minion.backoffUntil > 50);
    t.end();
  },
);

t.test('the success of one member completes the whole gang', t => {
  const table = new JobTable();
  const minion = addMinion(table, 'a');
  const job = addJob(table, 'j', [makeStep({ gang: true, taskCount: 3 })]);
  for (let index = 0; index < 3; index += 1) {
    startOn(minion, firstTask(job, 0, index));
  }
  const ends = [makeEnd('j.0.0.1', 1, 'done')];
  applyReport(table, minion, makeReport({ ends }), 0);
  t.equal(job.status, 'completed');
  t.end();
});
