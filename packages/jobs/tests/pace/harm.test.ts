import t from 'tap';

import { decideShares } from '../../src/pace/decide-shares.js';
import { HarmLearner } from '../../src/pace/harm-learner.js';
import { HarmTable } from '../../src/pace/harm-table.js';
import {
  allowedSlowdown,
  loadOf,
  slowdownOf,
} from '../../src/pace/queue-model.js';

t.test('the queue model turns tails into slowdowns and back', t => {
  const floor = 10;
  for (const load of [0.2, 0.45, 0.7]) {
    const quiet = floor / (1 - load);
    t.match(loadOf(quiet, floor).toFixed(6), load.toFixed(6));
    for (const slowdown of [1, 1.1, 1.3]) {
      const tail = (floor * slowdown) / (1 - load * slowdown);
      t.equal(slowdownOf(tail, floor, load).toFixed(6), slowdown.toFixed(6));
      t.equal(
        allowedSlowdown(tail, floor, load).toFixed(6),
        slowdown.toFixed(6),
      );
    }
  }
  t.end();
});

t.test('harm is told apart from harmlessness in the same company', t => {
  const table = new HarmTable();
  const learner = new HarmLearner(table);
  const truth = new Map([
    ['heavy', 0.2],
    ['light', 0],
    ['middling', 0.06],
  ]);
  for (let round = 0; round < 60; round += 1) {
    const cores = new Map([
      ['heavy', round % 3],
      ['light', (round * 7) % 5],
      ['middling', (round * 3) % 4],
    ]);
    let slowdown = 1;
    for (const [image, amount] of cores) {
      slowdown += amount * (truth.get(image) ?? 0);
    }
    learner.observe('serving', slowdown, false, cores);
  }
  learner.update();
  for (const [image, harm] of truth) {
    const learned = table.harm('serving', image);
    t.ok(Math.abs(learned - harm) < 0.03, `${image}: ${learned} for ${harm}`);
  }
  t.end();
});

t.test('an overloaded queue only proves the least harm', t => {
  const table = new HarmTable();
  const learner = new HarmLearner(table);
  const cores = new Map([['heavy', 10]]);
  learner.observe('serving', 3, false, cores);
  learner.update();
  const before = table.harm('serving', 'heavy');
  learner.observe('serving', 1.2, true, cores);
  learner.update();
  t.ok(table.harm('serving', 'heavy') >= before * 0.99);
  t.end();
});

t.test('only images that surely harm are held back', t => {
  const table = new HarmTable();
  table.set('serving', 'heavy', 0.3, 6);
  table.set('serving', 'light', 0, 6);
  const task = {
    image: 'serving',
    target: 50,
    tail: 60,
    floor: 10,
    load: 0.6,
    strainedMilliseconds: 1000,
  };
  const demand = { cores: 4, coresPerTask: 2 };
  const cores = new Map([
    ['heavy', demand],
    ['light', demand],
    ['unknown', demand],
  ]);
  const shares = decideShares([task], cores, table);
  t.equal(shares.get('light'), 1);
  t.equal(shares.get('unknown'), 1);
  t.ok((shares.get('heavy') ?? 1) < 0.2);
  t.same([...decideShares([], cores, table).values()], [1, 1, 1]);
  const fresh = { ...task, strainedMilliseconds: 0 };
  t.same([...decideShares([fresh], cores, table).values()], [1, 1, 1]);
  const lasting = { ...task, strainedMilliseconds: 1700 };
  t.same([...decideShares([lasting], cores, table).values()], [0, 0, 0]);
  t.end();
});
