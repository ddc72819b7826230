import t from 'tap';

import { InterferenceTable } from '../../src/interference/interference-table.js';
import { LoadMonitor } from '../../src/interference/load-monitor.js';
import { conditionsOfStep } from '../../src/plan/conditions-of-step.js';
import { explainWait } from '../../src/plan/explain-wait.js';
import { findLongWaits } from '../../src/plan/find-long-waits.js';
import { InterferencePredictor } from '../../src/plan/interference-predictor.js';
import type { LongWait } from '../../src/plan/long-wait.js';
import { MinionChooser } from '../../src/plan/minion-chooser.js';
import { JobTable } from '../../src/state/job-table.js';
import { addJob } from '../support/add-job.js';
import { addMinion } from '../support/add-minion.js';
import { firstTask } from '../support/first-task.js';
import { makeStep } from '../support/make-step.js';
import { plan } from '../support/plan.js';
import { startOn } from '../support/start-on.js';

function explain(
  table: JobTable,
  wait: LongWait,
  mayWait = false,
  interference = new InterferenceTable(),
): Readonly<Record<string, number>> {
  const predictor = new InterferencePredictor(
    interference,
    new LoadMonitor(),
    0,
  );
  const conditions = conditionsOfStep(wait.job, 1, predictor, {
    mayWait,
    mayOvercommit: false,
  });
  const chooser = new MinionChooser([], conditions);
  return Object.fromEntries(explainWait(wait, table, chooser, 3000).minions);
}

t.test('counts minions by what keeps a task off them', t => {
  const table = new JobTable();
  addMinion(table, 'draining', { draining: true });
  addMinion(table, 'silent', { silent: true });
  addMinion(table, 'resting').backoffUntil = 3001;
  addMinion(table, 'cut off').connected = false;
  addMinion(table, 'unlabelled', { labels: [] });
  addMinion(table, 'elsewhere', { service: 'other' });
  addMinion(table, 'small', {
    capacity: {
      processorMillicores: 999,
      memoryMegabytes: 1000,
      accelerators: 0,
    },
  });
  addMinion(table, 'tight', {
    capacity: {
      processorMillicores: 4000,
      memoryMegabytes: 9,
      accelerators: 0,
    },
  });
  addJob(table, 'j', [makeStep({ requiredLabel: 'kind' })]);
  t.same(plan(table, 1), []);
  const [wait] = findLongWaits(table, 2000, 3000);
  t.match(wait, { cause: 'room', since: 1, count: 1 });
  t.same(wait && explain(table, wait), {
    draining: 1,
    silent: 1,
    'backs off': 1,
    disconnected: 1,
    'no label': 1,
    'processor time': 1,
    memory: 1,
  });
  t.same(findLongWaits(table, 3000, 3000), [], 'not before the time given');
  t.end();
});

t.test('tells idle processor time and endangered bounds of batch tasks', t => {
  const table = new JobTable();
  const busy = addMinion(table, 'busy');
  const serving = addMinion(table, 'serving');
  const fill = makeStep({
    filling: true,
    processorMillicores: 3900,
    image: 'x',
  });
  startOn(busy, firstTask(addJob(table, 'f', [fill])));
  const step = makeStep({ tailTargetMilliseconds: 50, image: 'frail' });
  startOn(serving, firstTask(addJob(table, 's', [step])));
  firstTask(addJob(table, 'j', [fill])).waitingSince = 1;
  const wait = findLongWaits(table, 2000, 3000).find(
    ({ cause }) => cause === 'room',
  );
  t.same(wait && explain(table, wait), { 'idle processor time': 2 });
  const small = makeStep({ filling: true, image: 'heavy' });
  firstTask(addJob(table, 'k', [small])).waitingSince = 1;
  const interference = new InterferenceTable();
  interference.set('frail', 'heavy', 0.9, 9);
  const other = findLongWaits(table, 2000, 3000).find(
    ({ task }) => task.jobIdentifier === 'k',
  );
  t.same(other && explain(table, other, true, interference), {
    'idle processor time': 1,
    'endangered bounds': 1,
  });
  t.same(other && explain(table, other, false, interference), {
    'idle processor time': 1,
    none: 1,
  });
  t.end();
});

t.test('tells an order in flight by the state of its minion', t => {
  const table = new JobTable();
  addMinion(table, 'other');
  const minion = addMinion(table, 'a');
  const job = addJob(table, 'j', [makeStep({ taskCount: 3 })]);
  startOn(minion, firstTask(job));
  startOn(minion, firstTask(job, 0, 1));
  firstTask(job, 0, 1).startSent = false;
  startOn(minion, firstTask(job, 0, 2));
  firstTask(job, 0, 2).firstListedAt = 5;
  minion.connected = false;
  const waits = findLongWaits(table, 2000, 3000);
  t.same(
    waits.map(({ task, cause }) => `${task.name} ${cause}`),
    ['j.0.0.0 order in flight', 'j.0.0.1 store or agent'],
  );
  t.same(waits[0] && explain(table, waits[0]), { disconnected: 1 });
  t.end();
});
