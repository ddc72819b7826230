import t from 'tap';

import { StoreWriter } from '../../src/leader/store-writer.js';
import { AppendRefusedError } from '../../src/store/append-refused-error.js';
import type { JobStore } from '../../src/store/job-store.js';
import type { StoredValue } from '../../src/store/stored-value.js';
import { anchoredTime } from '../../src/time/anchored-time.js';
import { quietLogger } from '../support/quiet-logger.js';

type Append = JobStore['append'];

function createWriter(
  append: Append,
  pending: StoredValue[],
  onFenced: () => void = () => undefined,
  unstorable: string[] = [],
): StoreWriter {
  return new StoreWriter({
    store: {
      open: () => Promise.resolve(true),
      readAll: () => Promise.resolve([]),
      append,
    },
    limits: { recordBytes: 100, appendBytes: 250, overheadBytes: 5 },
    epoch: 1,
    time: anchoredTime(),
    logger: quietLogger,
    collect: () => pending.splice(0),
    onUnstorable: key => unstorable.push(key),
    onFenced,
  });
}

function stored(writer: StoreWriter): Promise<boolean> {
  return new Promise(resolve => {
    writer.afterStored(resolve);
  });
}

t.test(
  'an append without an answer is retried under its sequence number',
  async t => {
    const calls: number[] = [];
    const append: Append = (_epoch, sequence) => {
      calls.push(sequence);
      return calls.length < 3
        ? Promise.reject(new Error('no answer'))
        : Promise.resolve(true);
    };
    const pending = [{ key: 'a', value: '1' }];
    const writer = createWriter(append, pending);
    t.equal(await stored(writer), true);
    pending.push({ key: 'a', value: '2' });
    t.equal(await stored(writer), true);
    t.same(calls, [0, 0, 0, 1]);
  },
);

t.test(
  'waiting actions fail once a later leader has fenced the writer',
  async t => {
    let fenced = 0;
    const writer = createWriter(
      () => Promise.resolve(false),
      [{ key: 'a', value: '1' }],
      () => {
        fenced += 1;
      },
    );
    t.equal(await stored(writer), false);
    t.equal(fenced, 1);
    t.equal(await stored(writer), false, 'later actions fail, too');
  },
);

t.test('closing the writer fails all waiting actions', async t => {
  const never: Append = () => new Promise(() => undefined);
  const writer = createWriter(never, [{ key: 'a', value: '1' }]);
  const waiting = stored(writer);
  const later = stored(writer);
  setTimeout(() => {
    writer.close();
  }, 50);
  t.equal(await later, false);
  t.equal(await Promise.race([waiting, Promise.resolve('open')]), false);
});

// Guards against one value that keeps all others from being stored.
t.test('a value that is too large is left out, others are stored', async t => {
  const stores: string[] = [];
  const append: Append = (_epoch, _sequence, values) => {
    stores.push(values.map(({ key }) => key).join());
    return Promise.resolve(true);
  };
  const unstorable: string[] = [];
  const values = [
    { key: 'a', value: '1' },
    { key: 'large', value: 'x'.repeat(100) },
    { key: 'b', value: '2' },
  ];
  const writer = createWriter(append, values, undefined, unstorable);
  t.equal(await stored(writer), true);
  t.same(stores, ['a,b']);
  t.same(unstorable, ['large']);
});

t.test('changes of more than an append are stored in several', async t => {
  const sequences: number[] = [];
  const keys: string[] = [];
  const append: Append = (_epoch, sequence, values) => {
    sequences.push(sequence);
    keys.push(...values.map(({ key }) => key));
    return Promise.resolve(true);
  };
  const value = 'x'.repeat(90);
  const names = ['a', 'b', 'c', 'd', 'e'];
  const writer = createWriter(
    append,
    names.map(key => ({ key, value })),
  );
  t.equal(await stored(writer), true);
  t.same(sequences, [0, 1, 2]);
  t.same(keys, names);
});

// Guards against an append that is repeated for ever though no repeat can help.
t.test('of a refused append only the refused value is left out', async t => {
  const kept: string[] = [];
  const sequences: number[] = [];
  let calls = 0;
  const append: Append = (_epoch, sequence, values) => {
    calls += 1;
    if (values.some(({ key }) => key === 'odd')) {
      const refusal = new AppendRefusedError('store.append', 's', 'status 400');
      return Promise.reject(refusal);
    }
    sequences.push(sequence);
    kept.push(...values.map(({ key }) => key));
    return Promise.resolve(true);
  };
  const unstorable: string[] = [];
  const values = ['a', 'b', 'odd', 'c', 'd'].map(key => ({ key, value: '1' }));
  const writer = createWriter(append, values, undefined, unstorable);
  t.equal(await stored(writer), true);
  t.same(kept, ['a', 'b', 'c', 'd']);
  t.same(unstorable, ['odd']);
  t.same(
    sequences,
    sequences.map((_, index) => index),
    'a refused append uses no number',
  );
  t.ok(calls < 10, `${calls} calls`);
  t.equal(writer.pendingMilliseconds(), 0);
});
