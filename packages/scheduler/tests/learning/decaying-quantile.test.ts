import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import t from 'tap';

import { DecayingQuantile } from '../../src/learning/decaying-quantile.js';

t.test('quantiles are within the stated relative error', t => {
  const random = seededRandom(9);
  const quantile = new DecayingQuantile();
  for (let index = 0; index < 5000; index += 1) {
    quantile.add(1 + 9 * random.next());
  }
  const median = quantile.at(0.5);
  const high = quantile.at(0.95);
  t.ok(Math.abs(median - 5.5) < 1.2, `median ${median}`);
  t.ok(Math.abs(high - 9.55) < 0.8, `high ${high}`);
  t.end();
});

t.test('recent samples outweigh old ones', t => {
  const quantile = new DecayingQuantile();
  for (let index = 0; index < 20_000; index += 1) {
    quantile.add(1);
  }
  for (let index = 0; index < 200; index += 1) {
    quantile.add(8);
  }
  t.ok(quantile.at(0.5) > 7);
  t.end();
});

t.test('the quantile is 0 without samples', t => {
  t.equal(new DecayingQuantile().at(0.99), 0);
  t.end();
});
