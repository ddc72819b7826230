import fc from 'fast-check';
import t from 'tap';

import { applyProgress } from '../../src/records/apply-progress.js';
import { applyRows } from '../../src/records/apply-rows.js';
import { encodeChanges } from '../../src/records/encode-changes.js';
import type { EncodedProgress } from '../../src/records/encoded-progress.js';
import type { ProgressRecord } from '../../src/records/progress-record.js';
import { RecordLayout } from '../../src/records/record-layout.js';
import type { TaskRows } from '../../src/records/task-rows.js';
import type { JobEntry } from '../../src/state/job-entry.js';
import { JobTable } from '../../src/state/job-table.js';
import { addJob } from '../support/add-job.js';
import { makeStep } from '../support/make-step.js';

const KEY_BYTES = 64;

const LARGEST_INCARNATION = 'i'.repeat(399);

/** Lets each task of a job run, as far as that can be stored. */
function startAll(job: JobEntry, checkpoint: string): void {
  for (const task of job.tasks()) {
    task.phase = 'assigned';
    task.run = Number.MAX_SAFE_INTEGER;
    task.failedRuns = Number.MAX_SAFE_INTEGER;
    task.incarnation = `${task.index}`.padEnd(399, 'i');
    task.checkpoint = checkpoint;
  }
}

function sizesOf({ parts, main }: EncodedProgress): readonly number[] {
  return [main, ...parts.map(([, rows]) => rows)].map(
    record => Buffer.byteLength(JSON.stringify(record)) + KEY_BYTES,
  );
}

// Guards against progress that no record can hold, after which nothing is stored.
t.test('each record fits, however wide the job is', t => {
  const widths = fc.array(fc.integer({ min: 1, max: 900 }), {
    minLength: 1,
    maxLength: 5,
  });
  const sizes = fc.integer({ min: 1500, max: 300_000 });
  const checkpoints = fc.string({ unit: 'binary', maxLength: 6000 });
  fc.assert(
    fc.property(widths, sizes, checkpoints, (counts, recordBytes, text) => {
      const steps = counts.map(taskCount => makeStep({ taskCount }));
      const job = addJob(new JobTable(), 'j', steps);
      startAll(job, text);
      job.end('completed', 1_765_000_000_000.123);
      const layout = new RecordLayout(recordBytes);
      const encoded = encodeChanges(job, job.tasks(), layout);
      return sizesOf(encoded).every(size => size <= recordBytes);
    }),
    { numRuns: 60, seed: 31 },
  );
  t.end();
});

t.test('the ranges of a scheduled job fit', t => {
  for (const recordBytes of [1500, 16_384, 262_144]) {
    const layout = new RecordLayout(recordBytes);
    const job = new JobTable().add(
      {
        ...addJob(new JobTable(), 'j', [makeStep()]).specification,
        repetitions: Number.MAX_SAFE_INTEGER,
      },
      addJob(new JobTable(), 'j', [makeStep()]).queue,
      0,
    );
    const last = Number.MAX_SAFE_INTEGER;
    for (let range = 0; range <= layout.maximumOpenOccurrences; range += 1) {
      job.doneOccurrences.addRange(last - 3 * range - 1, last - 3 * range);
    }
    const encoded = encodeChanges(job, [], layout);
    const [size] = sizesOf(encoded);
    t.ok((size ?? 0) <= recordBytes, `${size} of ${recordBytes} bytes`);
  }
  t.end();
});

t.test('only the records with changed tasks are stored', t => {
  const job = addJob(new JobTable(), 'j', [makeStep({ taskCount: 1000 })]);
  startAll(job, '');
  const changed = [3, 5, 700].map(index => job.task(0, 0, index));
  const encoded = encodeChanges(
    job,
    changed.flatMap(task => task ?? []),
    new RecordLayout(262_144),
  );
  t.same(
    encoded.parts.map(([part, rows]) => [part, rows.tasks.length]),
    [
      ['0.672', 32],
      ['0.0', 32],
    ],
  );
  t.same(encoded.main.tasks, []);
  t.end();
});

t.test('the records of a wide job restore its state', t => {
  const steps = [makeStep({ taskCount: 150 }), makeStep({ taskCount: 50 })];
  const job = addJob(new JobTable(), 'j', steps);
  startAll(job, 'saved');
  job.task(0, 0, 149)?.end('done');
  job.task(0, 1, 7)?.end('failed');
  const layout = new RecordLayout(262_144);
  const encoded = encodeChanges(job, job.tasks(), layout);
  const text = JSON.stringify([encoded.main, encoded.parts]);
  const [main, parts] = JSON.parse(text) as [
    ProgressRecord,
    EncodedProgress['parts'],
  ];
  const table = new JobTable();
  const copy = addJob(table, 'j', steps);
  applyProgress(table, copy, main, 0);
  parts.forEach(([, rows]) => applyRows(table, copy, rows, 0));
  t.equal(copy.task(0, 0, 149)?.phase, 'done');
  t.equal(copy.task(0, 1, 7)?.phase, 'failed');
  t.equal(copy.task(0, 1, 49)?.phase, 'assigned');
  t.equal(copy.task(0, 1, 49)?.checkpoint, 'saved');
  t.equal(table.minions.size, 149, 'one for each index that is assigned');
  t.end();
});

t.test('of two rows of a task the later one holds', t => {
  const row = (run: number, phase: 'a' | 'w' | 'd'): TaskRows => ({
    incarnations: ['m'],
    tasks: [[0, 0, 0, phase, run, 0, phase === 'a' ? 0 : -1, '']],
  });
  const cases: readonly [TaskRows, TaskRows, string][] = [
    [row(1, 'a'), row(2, 'a'), 'assigned 2'],
    [row(2, 'd'), row(1, 'a'), 'done 2'],
    [row(1, 'd'), row(1, 'a'), 'done 1'],
    [row(1, 'a'), row(1, 'w'), 'waiting 1'],
  ];
  for (const [first, second, expected] of cases) {
    const table = new JobTable();
    const job = addJob(table, 'j', [makeStep()]);
    applyRows(table, job, first, 0);
    applyRows(table, job, second, 0);
    const task = job.task(0, 0, 0);
    t.equal(`${task?.phase} ${task?.run}`, expected);
    const runs = [...(table.minions.get('m')?.runs.keys() ?? [])];
    t.same(runs, expected.startsWith('assigned') ? ['j.0.0.0/2'] : []);
  }
  t.end();
});

t.test('rows of an occurrence that is done are left out', t => {
  const table = new JobTable();
  const job = addJob(table, 'j', [makeStep()]);
  job.doneOccurrences.addRange(3, 3);
  const incarnations = [LARGEST_INCARNATION];
  const rows: TaskRows = { incarnations, tasks: [[3, 0, 0, 'a', 1, 0, 0, '']] };
  t.same(applyRows(table, job, rows, 0), []);
  t.notOk(job.occurrences.has(3));
  t.end();
});
