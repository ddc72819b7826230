import t from 'tap';

import { addDueOccurrences } from '../../src/plan/add-due-occurrences.js';
import type { JobEntry } from '../../src/state/job-entry.js';
import { JobTable } from '../../src/state/job-table.js';
import { addJob, QUEUE_SETTINGS } from '../support/add-job.js';
import { addMinion } from '../support/add-minion.js';
import { makeStep } from '../support/make-step.js';
import { plan } from '../support/plan.js';

function addScheduledJob(table: JobTable): JobEntry {
  return table.add(
    {
      identifier: 'job',
      queue: 'queue',
      payload: '',
      steps: [makeStep()],
      repetitions: 3,
      firstDueAt: 1000,
      intervalMilliseconds: 500,
    },
    QUEUE_SETTINGS,
    0,
  );
}

t.test('each occurrence is created once, when it is due', t => {
  const cases: readonly [number, number][] = [
    [999, 0],
    [1000, 1],
    [1499, 1],
    [1500, 2],
    [9000, 3],
  ];
  for (const [now, count] of cases) {
    const job = addScheduledJob(new JobTable());
    addDueOccurrences(job, now);
    addDueOccurrences(job, now);
    t.equal(job.occurrences.size, count, `at ${now}`);
  }
  t.end();
});

t.test('occurrences can overlap, and the job ends after the last one', t => {
  const table = new JobTable();
  addMinion(table, 'a');
  const job = addScheduledJob(table);
  addDueOccurrences(job, 1500);
  t.same(plan(table, 1500), ['job.0.0.0 on a', 'job.1.0.0 on a']);
  for (const task of job.tasks()) {
    task.end('done');
  }
  job.endIfFinished(1600);
  t.equal(job.ended, undefined, 'one occurrence is not due yet');
  addDueOccurrences(job, 2000);
  job.task(2, 0, 0)?.end('done');
  job.endIfFinished(2100);
  t.equal(job.ended, 'completed');
  t.end();
});

t.test('an ended job gets no more occurrences', t => {
  const job = addScheduledJob(new JobTable());
  job.end('cancelled', 1200);
  addDueOccurrences(job, 9000);
  t.equal(job.occurrences.size, 0);
  t.end();
});

t.test('tightly coupled tasks share a rack while it has free capacity', t => {
  const table = new JobTable();
  addMinion(table, 'a', { labels: ['kind', 'rack-1'] });
  addMinion(table, 'b', { labels: ['kind', 'rack-2'] });
  addMinion(table, 'c', { labels: ['kind', 'rack-1'] });
  addJob(table, 'near', [
    makeStep({ tightlyCoupled: true, taskCount: 4, processorMillicores: 2000 }),
  ]);
  const minions = plan(table).map(start => start.split(' on ')[1]);
  t.same([...minions].sort(), ['a', 'a', 'c', 'c']);
  t.end();
});
