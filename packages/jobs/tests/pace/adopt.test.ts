import t from 'tap';

import { HarmLearner } from '../../src/pace/harm-learner.js';
import { HarmTable } from '../../src/pace/harm-table.js';
import { LoadWatch } from '../../src/pace/load-watch.js';

const LEARNED = {
  serving: 'frail',
  filling: 'heavy',
  harm: 0.4,
  observations: 60,
};

const SEEN = { job: 'job', image: 'image', task: 'task', bound: 125 };

t.test('an adopted estimate counts at once, and once', t => {
  const table = new HarmTable();
  const learner = new HarmLearner(table);
  learner.adopt(LEARNED);
  t.equal(table.sureHarm('frail', 'heavy'), 0.4);
  learner.adopt({ ...LEARNED, harm: 0 });
  learner.update();
  t.ok(Math.abs(table.harm('frail', 'heavy') - 0.4) < 0.02);
  t.end();
});

t.test('what is seen afterwards corrects an adopted estimate', t => {
  const table = new HarmTable();
  const learner = new HarmLearner(table);
  learner.adopt(LEARNED);
  for (let round = 0; round < 100; round += 1) {
    learner.observe('frail', 1, false, new Map([['heavy', 5]]));
  }
  learner.update();
  t.ok(table.harm('frail', 'heavy') < 0.05);
  t.end();
});

t.test('no estimate gives way to one of fewer observations', t => {
  const table = new HarmTable();
  const learner = new HarmLearner(table);
  for (let round = 0; round < 10; round += 1) {
    learner.observe('frail', 2, false, new Map([['heavy', 5]]));
  }
  learner.update();
  const before = table.harm('frail', 'heavy');
  learner.adopt({ ...LEARNED, harm: 0, observations: 9 });
  learner.update();
  t.ok(Math.abs(table.harm('frail', 'heavy') - before) < 0.01);
  t.end();
});

t.test('a floor is not learned from tails of an overload', t => {
  const watch = new LoadWatch();
  watch.note({ ...SEEN, tail: 900 }, 0);
  watch.note({ ...SEEN, tail: 900 }, 2000);
  t.equal(watch.floor('job'), 0);
  watch.adopt([{ image: 'image', milliseconds: 30 }]);
  t.equal(watch.floor('job'), 24);
  watch.note({ ...SEEN, tail: 25 }, 3000);
  t.equal(watch.floor('job'), 20);
  t.same(watch.lowestTailsSince(0), [{ image: 'image', milliseconds: 25 }]);
  t.end();
});
