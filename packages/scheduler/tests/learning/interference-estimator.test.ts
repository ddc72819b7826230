import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import t from 'tap';

import { InterferenceEstimator } from '../../src/learning/interference-estimator.js';
import type { Neighbour } from '../../src/learning/neighbour.js';

const kinds = ['a', 'b', 'c', 'd'];

function unthrottled(taskKind: string): Neighbour {
  return { taskKind, share: 1 };
}

/** Actual slowdown that the model has to estimate. */
function actualSlowdown(affectedKind: string, neighbourKind: string): number {
  const interferes = affectedKind === 'a' && neighbourKind !== 'b';
  return interferes ? 0.3 : 0;
}

t.test('identifies interfering neighbours from noisy slowdowns', t => {
  const random = seededRandom(5);
  const model = new InterferenceEstimator();
  for (let round = 0; round < 600; round += 1) {
    const neighbours = kinds.filter(() => random.next() < 0.5);
    const noise = (random.next() - 0.5) * 0.05;
    const slowdown = neighbours
      .map(neighbour => actualSlowdown('a', neighbour))
      .reduce((sum, value) => sum + value, Math.max(0, noise));
    model.observe('a', neighbours.map(unthrottled), slowdown);
  }
  t.ok(model.slowdown('a', 'c') > 0.25);
  t.ok(model.slowdown('a', 'd') > 0.25);
  t.ok(model.slowdown('a', 'b') < 0.05);
  t.end();
});

t.test(
  'one observation shifts the prior of an unobserved pair only partly',
  t => {
    const model = new InterferenceEstimator();
    const prior = model.slowdown('x', 'y');
    t.ok(prior > 0);
    model.observe('x', [unthrottled('y')], 1);
    t.ok(model.slowdown('x', 'y') < 0.5);
    t.end();
  },
);

t.test('the estimate follows a change of load', t => {
  const model = new InterferenceEstimator();
  for (let round = 0; round < 100; round += 1) {
    model.observe('x', [unthrottled('y')], 0);
  }
  for (let round = 0; round < 20; round += 1) {
    model.observe('x', [unthrottled('y')], 0.5);
  }
  t.ok(model.slowdown('x', 'y') > 0.4);
  t.end();
});

t.test('interference is scaled to the full share of a throttled task', t => {
  const model = new InterferenceEstimator();
  for (let round = 0; round < 100; round += 1) {
    model.observe('x', [{ taskKind: 'y', share: 0.2 }], 0.1);
  }
  t.ok(model.slowdown('x', 'y') > 0.45);
  t.end();
});
