import t from 'tap';

import { JobTable } from '../../src/state/job-table.js';
import type { MinionEntry } from '../../src/state/minion-entry.js';
import { addJob } from '../support/add-job.js';
import { addMinion } from '../support/add-minion.js';
import { firstTask } from '../support/first-task.js';
import { makeStep } from '../support/make-step.js';
import { plan } from '../support/plan.js';
import { startOn } from '../support/start-on.js';

const BATCH = { filling: true, memoryMegabytes: 50 };

/** A table of two minions whose processor time batch tasks use. */
function tableOfBusyMinions(): {
  readonly table: JobTable;
  readonly minions: readonly MinionEntry[];
} {
  const table = new JobTable();
  const minions = ['a', 'b'].map(name => addMinion(table, name));
  const busy = addJob(table, 'busy', [
    makeStep({ ...BATCH, processorMillicores: 3500, taskCount: 2 }),
  ]);
  minions.forEach((minion, index) => {
    startOn(minion, firstTask(busy, 0, index));
  });
  return { table, minions };
}

// Guards against LOST: a batch task that waits for idle time which smaller ones take.
t.test('a batch task whose work stands still starts after 2 s', t => {
  const { table } = tableOfBusyMinions();
  const large = makeStep({ ...BATCH, processorMillicores: 2000, taskCount: 3 });
  addJob(table, 'large', [large]);
  t.same(plan(table, 1), []);
  t.same(plan(table, 1900), []);
  const started = plan(table, 2001);
  t.same(started, ['large.0.0.0 on a'], 'one of them, beyond the idle time');
  t.end();
});

t.test('no other task of its job starts so while it runs', t => {
  const { table, minions } = tableOfBusyMinions();
  const large = makeStep({ ...BATCH, processorMillicores: 2000, taskCount: 3 });
  const job = addJob(table, 'large', [large]);
  plan(table, 1);
  if (minions[0] !== undefined) {
    startOn(minions[0], firstTask(job), 1, 2001);
  }
  t.same(plan(table, 9000), []);
  if (minions[0]?.description !== undefined) {
    minions[0].description = { ...minions[0].description, silent: true };
  }
  t.same(
    plan(table, 9000),
    ['large.0.0.1 on b'],
    'unless its minion does not answer',
  );
  t.end();
});

t.test('a step that fits nowhere holds back no other of its job', t => {
  const { table } = tableOfBusyMinions();
  const fields = { ...BATCH, processorMillicores: 2000 };
  addJob(table, 'j', [
    makeStep({ ...fields, memoryMegabytes: 951 }),
    makeStep(fields),
    makeStep(fields),
  ]);
  plan(table, 1);
  t.same(plan(table, 2001), ['j.0.1.0 on b'], 'a is reserved');
  t.end();
});

t.test('each long-running batch task starts after 2 s', t => {
  const { table } = tableOfBusyMinions();
  const fields = { processorMillicores: 2000, longRunning: true, taskCount: 2 };
  addJob(table, 'lasting', [makeStep({ ...BATCH, ...fields })]);
  plan(table, 1);
  t.equal(plan(table, 2001).length, 2);
  t.end();
});

t.test('memory, labels and the step limit hold all the same', t => {
  const { table } = tableOfBusyMinions();
  const fields = { ...BATCH, processorMillicores: 2000 };
  addJob(table, 'm', [makeStep({ ...fields, memoryMegabytes: 951 })]);
  addJob(table, 'l', [makeStep({ ...fields, requiredLabel: 'other' })]);
  plan(table, 1);
  t.same(plan(table, 9000), []);
  t.end();
});

// Guards against LOST: the largest task under a steady stream of small ones.
t.test('room is reserved until a task fits that was passed over', t => {
  const table = new JobTable();
  const minions = ['a', 'b'].map(name => addMinion(table, name));
  const small = addJob(table, 'small', [
    makeStep({ taskCount: 40, processorMillicores: 2000 }),
  ]);
  const tasks = small.occurrences.get(0)?.[0] ?? [];
  const running: [MinionEntry, (typeof tasks)[number]][] = [];
  minions.forEach((minion, index) => {
    for (const task of tasks.slice(2 * index, 2 * index + 2)) {
      startOn(minion, task);
      running.push([minion, task]);
    }
  });
  const whole = makeStep({ processorMillicores: 4000 });
  addJob(table, 'whole', [whole], {}, 1_000_000);
  let startedAt = 0;
  for (let now = 1; now < 9000 && startedAt === 0; now += 500) {
    const [minion, task] = running.shift() ?? [];
    minion?.removeRun(task?.name ?? '', task?.run ?? 0);
    task?.end('done');
    for (const start of plan(table, now)) {
      const [name = '', incarnation = ''] = start.split(' on ');
      const [entry, started] = [
        table.minions.get(incarnation),
        table.task(name),
      ];
      if (entry !== undefined && started !== undefined) {
        startOn(entry, started, 1, now);
        running.push([entry, started]);
        startedAt = name.startsWith('whole') ? now : startedAt;
      }
    }
  }
  t.ok(startedAt > 0, 'the task that needs a whole minion starts');
  t.ok(startedAt <= 5000 + 4 * 500, `after ${startedAt} ms`);
  t.end();
});

t.test('nothing is reserved for a task that no minion can ever have', t => {
  const table = new JobTable();
  addMinion(table, 'a');
  addJob(table, 'huge', [makeStep({ processorMillicores: 4001 })]);
  addJob(table, 'gang', [makeStep({ gang: true, taskCount: 5 })]);
  plan(table, 1);
  addJob(table, 'j', [makeStep({ taskCount: 4 })]);
  t.equal(plan(table, 9000).length, 4);
  t.end();
});

t.test('a reservation leaves room that it does not need to others', t => {
  const table = new JobTable();
  const minions = ['a', 'b'].map(name => addMinion(table, name));
  const busy = addJob(table, 'busy', [
    makeStep({ taskCount: 2, processorMillicores: 1000 }),
  ]);
  minions.forEach((minion, index) => {
    startOn(minion, firstTask(busy, 0, index));
  });
  addJob(table, 'whole', [makeStep({ processorMillicores: 4000 })]);
  plan(table, 1);
  addJob(table, 'j', [makeStep({ taskCount: 9 })]);
  t.equal(plan(table, 2001).length, 3, 'on the other minion');
  t.end();
});
