import t from 'tap';

import type { JobSpecification } from '../../src/model/job-specification.js';
import { addDueOccurrences } from '../../src/plan/add-due-occurrences.js';
import { applyProgress } from '../../src/records/apply-progress.js';
import { encodeProgress } from '../../src/records/encode-progress.js';
import type { JobEntry } from '../../src/state/job-entry.js';
import { JobTable } from '../../src/state/job-table.js';
import { addJob, QUEUE_SETTINGS } from '../support/add-job.js';
import { addMinion } from '../support/add-minion.js';
import { makeStep } from '../support/make-step.js';
import { plan } from '../support/plan.js';

function addScheduledJob(
  table: JobTable,
  fields: Partial<JobSpecification> = {},
): JobEntry {
  return table.add(
    {
      identifier: 'job',
      queue: 'queue',
      payload: '',
      steps: [makeStep()],
      repetitions: 3,
      firstDueAt: 1000,
      intervalMilliseconds: 500,
      ...fields,
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

/** A schedule of a task each second that began a day ago. */
const DAY_BEHIND = {
  repetitions: 100_000,
  firstDueAt: 0,
  intervalMilliseconds: 1000,
};

const DAY_MILLISECONDS = 86_400_000;

/** What one tick of the leader may create for one job. */
const MAXIMUM_TASKS = 1000;

// Guards against leaders that end out of memory, one after the other.
t.test('a job a day behind its schedule gets few tasks at once', t => {
  const table = new JobTable();
  const job = addScheduledJob(table, {
    ...DAY_BEHIND,
    steps: [makeStep({ requiredLabel: 'none-has-it', taskCount: 6 })],
  });
  for (let tick = 0; tick < 20; tick += 1) {
    addDueOccurrences(job, DAY_MILLISECONDS);
  }
  const tasks = [...job.tasks()].length;
  t.ok(tasks >= 6, 'its turn has come');
  t.ok(tasks <= MAXIMUM_TASKS, `${tasks} tasks`);
  t.end();
});

t.test('a job far behind its schedule runs each occurrence once', t => {
  const repetitions = 5000;
  const table = new JobTable();
  const job = addScheduledJob(table, { ...DAY_BEHIND, repetitions });
  const seen = new Set<number>();
  let repeats = 0;
  let largestRecord = 0;
  for (let round = 0; round < repetitions && job.ended === undefined; round++) {
    table.dropDoneOccurrences(job);
    addDueOccurrences(job, DAY_MILLISECONDS);
    for (const task of job.tasks()) {
      repeats += Number(seen.has(task.occurrence));
      seen.add(task.occurrence);
      table.task(task.name)?.end('done');
      task.run = 1;
    }
    job.endIfFinished(DAY_MILLISECONDS);
    const record = JSON.stringify(encodeProgress(job));
    largestRecord = Math.max(largestRecord, record.length);
  }
  t.equal(seen.size, repetitions);
  t.equal(repeats, 0);
  t.equal(job.ended, 'completed');
  t.ok(largestRecord < 32 * 1024, `a record of ${largestRecord} bytes`);
  t.end();
});

t.test(
  'an earlier occurrence that blocks does not hold up the later ones',
  t => {
    const job = addScheduledJob(new JobTable(), DAY_BEHIND);
    for (let round = 0; round < 30; round += 1) {
      addDueOccurrences(job, DAY_MILLISECONDS);
      for (const task of job.tasks()) {
        if (task.occurrence > 0) {
          task.end('done');
        }
      }
      job.dropDoneOccurrences();
    }
    t.same([...job.occurrences.keys()], [0]);
    t.ok(job.doneOccurrences.count > 1000);
    t.equal(job.doneOccurrences.toRows().length, 1);
    t.end();
  },
);

t.test('the next leader creates what the record does not name', t => {
  const before = new JobTable();
  const job = addScheduledJob(before, { repetitions: 5 });
  addDueOccurrences(job, 9000);
  for (const occurrence of [0, 1, 3]) {
    const task = job.task(occurrence, 0, 0);
    if (task !== undefined) {
      task.run = 1;
      task.end('done');
    }
  }
  before.dropDoneOccurrences(job);
  const record = JSON.parse(JSON.stringify(encodeProgress(job))) as ReturnType<
    typeof encodeProgress
  >;
  const after = new JobTable();
  const copy = addScheduledJob(after, { repetitions: 5 });
  applyProgress(after, copy, record, 9000);
  addDueOccurrences(copy, 9000);
  t.same([...copy.occurrences.keys()], [2, 4]);
  t.end();
});
