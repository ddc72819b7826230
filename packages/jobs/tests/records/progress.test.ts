import t from 'tap';

import { applyProgress } from '../../src/records/apply-progress.js';
import { encodeProgress } from '../../src/records/encode-progress.js';
import type { ProgressRecord } from '../../src/records/progress-record.js';
import { JobTable } from '../../src/state/job-table.js';
import { addJob } from '../support/add-job.js';
import { addMinion } from '../support/add-minion.js';
import { firstTask } from '../support/first-task.js';
import { makeStep } from '../support/make-step.js';
import { startOn } from '../support/start-on.js';

t.test('a record restores the state that the next leader needs', t => {
  const steps = [makeStep({ taskCount: 4, checkpointing: true })];
  const before = new JobTable();
  const job = addJob(before, 'j', steps);
  startOn(addMinion(before, 'a'), firstTask(job, 0, 0));
  startOn(addMinion(before, 'b'), firstTask(job, 0, 1));
  firstTask(job, 0, 1).failedRuns = 1;
  startOn(before.getOrAddMinion('a', 0), firstTask(job, 0, 2));
  firstTask(job, 0, 2).end('done');
  const text = JSON.stringify(encodeProgress(job));

  const after = new JobTable();
  const copy = addJob(after, 'j', steps);
  applyProgress(after, copy, JSON.parse(text) as ProgressRecord, 5000);
  t.equal(firstTask(copy, 0, 0).incarnation, 'a');
  t.equal(firstTask(copy, 0, 1).failedRuns, 1);
  t.equal(firstTask(copy, 0, 2).phase, 'done');
  t.equal(firstTask(copy, 0, 3).run, 0);
  t.equal(
    after.getOrAddMinion('a', 0).runs.size,
    1,
    'its resources are in use',
  );
  t.equal(
    after.getOrAddMinion('a', 0).lastContactAt,
    5000,
    'its lease counts from the present time',
  );
  t.equal(JSON.stringify(encodeProgress(copy)), text);
  t.end();
});

t.test('an ended job stays ended', t => {
  const before = new JobTable();
  const job = addJob(before, 'j', [makeStep()]);
  job.end('cancelled', 77);
  const after = new JobTable();
  const copy = addJob(after, 'j', [makeStep()]);
  applyProgress(after, copy, encodeProgress(job), 0);
  t.equal(copy.status, 'cancelled');
  t.equal(copy.endedAt, 77);
  t.end();
});
