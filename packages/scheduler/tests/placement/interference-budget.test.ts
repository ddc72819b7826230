import t from 'tap';

import {
  initialShare,
  interferenceBudget,
  isWithinBudget,
} from '../../src/placement/interference-budget.js';

const slowdowns: Readonly<Record<string, number>> = {
  grade: 0.5,
  feed: 0,
  awful: 2,
};

const context = {
  interference: {
    slowdown: (affectedKind: string, neighbourKind: string): number =>
      affectedKind === 'label' ? (slowdowns[neighbourKind] ?? 0) : 0,
  },
  serviceKinds: new Set(['label']),
  latencyWeight: 1,
};

const beside = new Map([['label', 1]]);

t.test('a lower latency weight allows more interference', t => {
  t.ok(interferenceBudget(0.2) > interferenceBudget(0.9));
  t.end();
});

t.test('only a task that interferes with a service starts throttled', t => {
  t.equal(initialShare(context, beside, 'grade'), 0.2);
  t.equal(
    initialShare({ ...context, latencyWeight: 0.4 }, beside, 'grade'),
    0.5,
  );
  t.equal(initialShare(context, beside, 'feed'), 1);
  t.equal(initialShare(context, new Map(), 'grade'), 1);
  t.end();
});

t.test('a task over the budget even at the minimum share is rejected', t => {
  t.ok(isWithinBudget(context, beside, 'grade'));
  t.notOk(
    isWithinBudget(
      context,
      new Map([
        ['label', 1],
        ['grade', 1],
      ]),
      'grade',
    ),
  );
  t.notOk(isWithinBudget(context, beside, 'awful'));
  t.ok(isWithinBudget(context, new Map([['feed', 9]]), 'awful'));
  t.end();
});
