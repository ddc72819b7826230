import t from 'tap';

import { expireMinions } from '../../src/reconcile/expire-minions.js';
import { findStuckRuns } from '../../src/reconcile/find-stuck-runs.js';
import { LeaseBounds } from '../../src/reconcile/lease-bounds.js';
import { recordProgress } from '../../src/reconcile/record-progress.js';
import { tasksToMove } from '../../src/reconcile/tasks-to-move.js';
import { JobTable } from '../../src/state/job-table.js';
import { addJob } from '../support/add-job.js';
import { addMinion } from '../support/add-minion.js';
import { firstTask } from '../support/first-task.js';
import { makeStep } from '../support/make-step.js';
import { startOn } from '../support/start-on.js';

const BOUNDS = new LeaseBounds(6000, {
  longestLeaseMilliseconds: 9000,
  longestCallDelayMilliseconds: 3000,
});

t.test(
  'a disconnected minion keeps its tasks until its lease has expired',
  t => {
    const table = new JobTable();
    const minion = addMinion(table, 'a');
    const task = firstTask(addJob(table, 'j', [makeStep()]));
    startOn(minion, task);
    task.firstListedAt = 1000;
    minion.lastContactAt = 1000;
    minion.connected = false;
    t.same(expireMinions(table, BOUNDS, 7500), []);
    t.equal(task.phase, 'assigned');
    const [expired] = expireMinions(table, BOUNDS, 7621);
    t.equal(expired?.incarnation, 'a');
    t.equal(task.phase, 'waiting');
    t.end();
  },
);

t.test('a connected minion never expires', t => {
  const table = new JobTable();
  addMinion(table, 'a').lastContactAt = 0;
  t.same(expireMinions(table, BOUNDS, 1_000_000), []);
  t.end();
});

t.test('a run without progress is stuck; a batch task gets more time', t => {
  const table = new JobTable();
  const minion = addMinion(table, 'a');
  const plain = firstTask(addJob(table, 'p', [makeStep()]));
  const batch = firstTask(addJob(table, 'f', [makeStep({ filling: true })]));
  const longRunning = firstTask(
    addJob(table, 'l', [makeStep({ longRunning: true })]),
  );
  for (const task of [plain, batch, longRunning]) {
    startOn(minion, task);
    task.firstListedAt = 1;
    task.progressAt = 1;
  }
  longRunning.percent = 100;
  minion.reportedAt = 2000;
  t.same(findStuckRuns(table, 2000), []);
  minion.reportedAt = 3000;
  t.same(findStuckRuns(table, 3000), [plain]);
  t.ok(minion.backoffUntil > 3000);
  t.end();
});

// Guards against work that is stopped since its minion was silent for a while.
t.test('a run is not stuck while its minion is silent', t => {
  const table = new JobTable();
  const minion = addMinion(table, 'a');
  const task = firstTask(addJob(table, 'p', [makeStep()]));
  startOn(minion, task);
  const running = { task: task.name, run: 1, checkpoint: '', gauge: 0 };
  task.firstListedAt = 1000;
  task.progressAt = 1000;
  minion.reportedAt = 1000;
  t.same(findStuckRuns(table, 5000), [], 'no report tells of its progress');
  minion.reportedAt = 5100;
  recordProgress(task, { ...running, percent: 60 }, 5100);
  t.same(findStuckRuns(table, 5200), [], 'it has worked meanwhile');
  minion.reportedAt = 7700;
  t.same(findStuckRuns(table, 7700), [task]);
  t.end();
});

t.test('long-running and checkpointing tasks move off a draining minion', t => {
  const table = new JobTable();
  const minion = addMinion(table, 'a', {
    draining: true,
    remainingMilliseconds: 500,
  });
  const longRunning = firstTask(
    addJob(table, 'l', [makeStep({ longRunning: true })]),
  );
  const checkpointing = firstTask(
    addJob(table, 's', [makeStep({ checkpointing: true })]),
  );
  const plain = firstTask(addJob(table, 'p', [makeStep()]));
  for (const task of [longRunning, checkpointing, plain]) {
    startOn(minion, task);
    task.firstListedAt = 1;
    task.percent = 10;
  }
  t.same(tasksToMove(table, 2000), [longRunning, checkpointing]);
  t.end();
});
