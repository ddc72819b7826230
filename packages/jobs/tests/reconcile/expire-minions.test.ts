import t from 'tap';

import { expireMinions } from '../../src/reconcile/expire-minions.js';
import { LeaseBounds } from '../../src/reconcile/lease-bounds.js';
import { JobTable } from '../../src/state/job-table.js';
import type { MinionEntry } from '../../src/state/minion-entry.js';
import type { TaskEntry } from '../../src/state/task-entry.js';
import { addJob } from '../support/add-job.js';
import { addMinion } from '../support/add-minion.js';
import { firstTask } from '../support/first-task.js';
import { makeStep } from '../support/make-step.js';
import { startOn } from '../support/start-on.js';

/** 7640 ms, 10,700 ms and 24,700 ms. */
const BOUNDS = new LeaseBounds(7000, {
  longestLeaseMilliseconds: 10_000,
  longestCallDelayMilliseconds: 12_000,
});

interface Lost {
  readonly table: JobTable;
  readonly minion: MinionEntry;
  readonly task: TaskEntry;
}

/** A task on a minion of whose agent nothing is heard since time 0. */
function loseMinion(): Lost {
  const table = new JobTable();
  const minion = addMinion(table, 'a');
  const task = firstTask(addJob(table, 'j', [makeStep()]));
  startOn(minion, task);
  minion.connected = false;
  return { table, minion, task };
}

/** Returns the first time, in steps of 10 ms, at which the task is released. */
function releasedAt({ table, task }: Lost): number {
  let now = 0;
  while (task.phase === 'assigned') {
    now += 10;
    expireMinions(table, BOUNDS, now);
  }
  return now;
}

// Guards against an order that a life which nobody has met still carries out.
t.test('a run that no report listed may begin late, with any lease', t => {
  t.equal(releasedAt(loseMinion()), 24_710);
  t.end();
});

// Guards against a lease that a call for the former life gave.
t.test('a run on a young life may hold a lease that it inherited', t => {
  const lost = loseMinion();
  lost.task.firstListedAt = 1;
  lost.minion.recordFirstReport(7640, 10_700, -1000);
  t.equal(releasedAt(lost), 9710);
  t.end();
});

t.test(
  'a listed run on a life that is known for long has a granted lease',
  t => {
    const lost = loseMinion();
    lost.task.firstListedAt = 1;
    lost.minion.recordFirstReport(7640, 10_700, -5000);
    t.equal(releasedAt(lost), 7650);
    t.end();
  },
);

t.test('a confirmed run has a granted lease, also under the next leader', t => {
  const lost = loseMinion();
  lost.task.confirmed = true;
  t.equal(releasedAt(lost), 7650);
  t.equal(lost.table.minions.size, 0);
  t.end();
});

t.test('runs of one minion are released each at its own time', t => {
  const lost = loseMinion();
  const other = firstTask(addJob(lost.table, 'k', [makeStep()]));
  startOn(lost.minion, other);
  other.confirmed = true;
  const [expired] = expireMinions(lost.table, BOUNDS, 7650);
  t.same(expired?.releasedTasks, [other]);
  t.equal(other.phase, 'waiting');
  t.equal(other.placements, 0);
  t.equal(lost.task.phase, 'assigned');
  t.same(expireMinions(lost.table, BOUNDS, 7660), [], 'nothing else is over');
  t.equal(lost.table.minions.size, 1);
  t.end();
});
