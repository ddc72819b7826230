import { encodeProgress } from '@basilcourse/jobs/records/encode-progress';
import { RecordLayout } from '@basilcourse/jobs/records/record-layout';
import type { JobEntry } from '@basilcourse/jobs/state/job-entry';
import { JobTable } from '@basilcourse/jobs/state/job-table';
import t from 'tap';

import { loadTable } from '../../src/leader/load-table.js';
import { PendingChanges } from '../../src/leader/pending-changes.js';
import type { StoredValue } from '../../src/store/stored-value.js';
import { makeSpecification, makeStep } from '../support/make-specification.js';
import { QUEUE_SETTINGS } from '../support/queue-settings.js';
import { quietLogger } from '../support/quiet-logger.js';

const LAYOUT = new RecordLayout(262_144);

/** A store that reads back what was written to it. */
class Values {
  private readonly values = new Map<string, string>();

  public constructor(values: readonly StoredValue[] = []) {
    this.write(values);
  }

  public write(values: readonly StoredValue[]): void {
    for (const { key, value } of values) {
      if (value === undefined) {
        this.values.delete(key);
      } else {
        this.values.set(key, value);
      }
    }
  }

  public read(): readonly StoredValue[] {
    return [...this.values].map(([key, value]) => ({ key, value }));
  }

  public keys(): readonly string[] {
    return [...this.values.keys()].sort();
  }
}

interface Loaded {
  readonly table: JobTable;
  readonly changes: PendingChanges;
  readonly job: JobEntry | undefined;
}

function load(values: readonly StoredValue[], layout = LAYOUT): Loaded {
  const table = new JobTable();
  const changes = new PendingChanges(table, layout);
  changes.removeKeys(loadTable(table, layout, values, 0, quietLogger));
  return { table, changes, job: table.jobs.get('j') };
}

function phasesOf(job: JobEntry | undefined): string {
  return [...(job?.tasks() ?? [])]
    .map(({ name, phase, run }) => `${name} ${phase} ${run}`)
    .join('\n');
}

/** Adds a job of which each task has run, and returns what is stored of it. */
function storeJob(
  taskCount: number,
  layout: RecordLayout,
  repetitions = 0,
): { readonly values: readonly StoredValue[]; readonly job: JobEntry } {
  const table = new JobTable();
  const changes = new PendingChanges(table, layout);
  const specification = {
    ...makeSpecification('j', [makeStep(taskCount, 1)]),
    repetitions,
  };
  const record = { specification, queue: QUEUE_SETTINGS, acceptedAt: 0 };
  const job = table.add(specification, QUEUE_SETTINGS, 0);
  changes.add(record);
  job.addOccurrence(0);
  for (const task of job.tasks()) {
    task.run = 1 + (task.index % 3);
    task.phase = task.index % 2 === 0 ? 'done' : 'waiting';
    table.markChanged(task);
  }
  return { values: changes.collect(), job };
}

t.test('the next leader reads a wide job, and has nothing to store', t => {
  const { values, job } = storeJob(1000, LAYOUT);
  const loaded = load(values);
  t.equal(phasesOf(loaded.job), phasesOf(job));
  t.same(loaded.changes.collect(), []);
  t.end();
});

// Guards against tasks that run again, as a leader ended while it moved their rows.
t.test('rows in other records are moved, and none is lost on the way', t => {
  const layouts = [262_144, 20_000, 5000, 2000].map(
    bytes => new RecordLayout(bytes),
  );
  for (const from of layouts) {
    for (const to of layouts) {
      const { values, job } = storeJob(300, from);
      const moves = load(values, to).changes.collect();
      const phases = phasesOf(job);
      const keys = new Values(storeJob(300, to).values).keys().join();
      let wrong = 0;
      for (let stored = 0; stored <= moves.length; stored += 1) {
        const store = new Values(values);
        store.write(moves.slice(0, stored));
        const next = load(store.read(), to);
        store.write(next.changes.collect());
        wrong += Number(phasesOf(next.job) !== phases);
        wrong += Number(store.keys().join() !== keys);
      }
      t.equal(wrong, 0, `${moves.length} moves`);
    }
  }
  t.end();
});

t.test('rows that an earlier version wrote are read and moved', t => {
  const { values, job } = storeJob(1000, LAYOUT);
  const main = JSON.stringify(encodeProgress(job));
  const earlier = new Values(values.filter(({ key }) => key === 'job/j'));
  earlier.write([{ key: 'progress/j', value: main }]);
  const { changes, job: copy } = load(earlier.read());
  t.equal(phasesOf(copy), phasesOf(job));
  const moves = changes.collect();
  t.equal(moves.at(-1)?.key, 'progress/j', 'the rows are stored before');
  earlier.write(moves);
  t.equal(phasesOf(load(earlier.read()).job), phasesOf(job));
  t.same(earlier.keys(), new Values(values).keys());
  t.end();
});

t.test('a small job is stored as by earlier versions', t => {
  const { values, job } = storeJob(128, LAYOUT);
  t.same(
    values.map(({ key }) => key),
    ['job/j', 'progress/j'],
  );
  t.equal(values[1]?.value, JSON.stringify(encodeProgress(job)));
  t.end();
});

t.test('the records of an occurrence go once it is done', t => {
  const { values } = storeJob(40, LAYOUT, 5);
  const store = new Values(values);
  t.same(store.keys(), [
    'job/j',
    'progress/j',
    'progress/j/0.0',
    'progress/j/0.32',
  ]);
  const { table, changes, job } = load(store.read());
  for (const task of job?.tasks() ?? []) {
    task.phase = 'done';
  }
  if (job !== undefined) {
    table.dropDoneOccurrences(job);
  }
  const moves = changes.collect();
  t.equal(moves[0]?.key, 'progress/j', 'the range is stored first');
  store.write(moves.slice(0, 1));
  t.equal(load(store.read()).job?.doneOccurrences.count, 1);
  t.equal(load(store.read()).job?.occurrences.size, 0);
  store.write(load(store.read()).changes.collect());
  t.same(store.keys(), ['job/j', 'progress/j']);
  t.end();
});

t.test('all records of a job go with it, whenever its leader ends', t => {
  const { values } = storeJob(1000, LAYOUT);
  const { changes, job } = load(values);
  if (job !== undefined) {
    changes.removeJob(job);
  }
  const removals = changes.collect();
  t.equal(removals[0]?.key, 'job/j', 'a job is not left without its progress');
  for (let stored = 1; stored <= removals.length; stored += 1) {
    const store = new Values(values);
    store.write(removals.slice(0, stored));
    const next = load(store.read());
    t.equal(next.job, undefined);
    store.write(next.changes.collect());
    t.same(store.keys(), []);
  }
  t.end();
});

// Guards against a job that is lost as it comes again while the first one goes.
t.test('a job may come again under the identifier of one that goes', t => {
  const { values } = storeJob(1000, LAYOUT);
  const store = new Values(values);
  const { table, changes, job } = load(store.read());
  if (job !== undefined) {
    changes.removeJob(job);
    table.remove(job);
  }
  const specification = makeSpecification('j', [makeStep(1, 1)]);
  changes.add({ specification, queue: QUEUE_SETTINGS, acceptedAt: 9 });
  store.write(changes.collect());
  t.same(store.keys(), ['job/j']);
  t.equal(load(store.read()).job?.acceptedAt, 9);
  t.end();
});

t.test('a job whose record cannot be read keeps its progress', t => {
  const { values } = storeJob(1000, LAYOUT);
  const store = new Values(values);
  store.write([{ key: 'job/j', value: '{' }]);
  t.same(load(store.read()).changes.collect(), []);
  t.end();
});

t.test('a job whose last tasks were stored, but not its end, ends', t => {
  const { values, job } = storeJob(300, LAYOUT);
  for (const task of job.tasks()) {
    task.phase = 'done';
  }
  const table = new JobTable();
  const changes = new PendingChanges(table, LAYOUT);
  table.jobs.set('j', job);
  for (const task of job.tasks()) {
    table.markChanged(task);
  }
  const store = new Values(values);
  store.write(changes.collect());
  const loaded = load(store.read());
  t.equal(loaded.job?.ended, 'completed');
  t.match(loaded.changes.collect(), [{ key: 'progress/j' }]);
  t.end();
});
