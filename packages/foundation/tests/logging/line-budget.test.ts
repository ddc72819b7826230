import t from 'tap';

import { LineBudget } from '../../src/logging/line-budget.js';

t.test('lines of one kind beyond the limit are left out and counted', t => {
  const budget = new LineBudget(2);
  t.same(budget.advance(0), []);
  const admitted = [1, 2, 3, 4].map(() => budget.admit('busy'));
  t.same(admitted, [true, true, false, false]);
  t.ok(budget.admit('other'), 'each kind has its own limit');
  t.same(budget.advance(999), []);
  t.same(budget.advance(1000), [{ kind: 'busy', count: 2 }]);
  t.ok(budget.admit('busy'));
  t.same(budget.advance(2000), []);
  t.end();
});

t.test('the number of kinds is bounded', t => {
  const budget = new LineBudget(5);
  for (let kind = 0; kind < 1000; kind += 1) {
    t.ok(budget.admit(`kind ${kind}`));
  }
  t.notOk(budget.admit('one more'));
  t.ok(budget.admit('kind 7'), 'kinds already counted are still admitted');
  t.end();
});
