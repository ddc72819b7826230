import t from 'tap';

import { ConcurrencyLimit } from '../../src/async/concurrency-limit.js';

function makeGate(): {
  readonly open: () => void;
  readonly opened: Promise<void>;
} {
  let open = (): void => undefined;
  const opened = new Promise<void>(resolve => {
    open = resolve;
  });
  return { open, opened };
}

t.test('runs at most the maximum at once, in order', async t => {
  const limit = new ConcurrencyLimit(2);
  const gates = Array.from({ length: 5 }, makeGate);
  const started: number[] = [];
  const runs = gates.map((gate, number) =>
    limit.run(async () => {
      started.push(number);
      await gate.opened;
      return number;
    }),
  );
  t.same(started, [0, 1]);
  gates[1]?.open();
  await runs[1];
  t.same(started, [0, 1, 2]);
  gates.forEach(gate => {
    gate.open();
  });
  t.same(await Promise.all(runs), [0, 1, 2, 3, 4]);
  t.same(started, [0, 1, 2, 3, 4]);
});

t.test('a failed action frees its place', async t => {
  const limit = new ConcurrencyLimit(1);
  const failed = limit.run(() => Promise.reject(new Error('no answer')));
  const next = limit.run(() => Promise.resolve('next'));
  await t.rejects(failed, { message: 'no answer' });
  t.equal(await next, 'next');
});
