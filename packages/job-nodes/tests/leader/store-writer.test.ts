import t from 'tap';

import { StoreWriter } from '../../src/leader/store-writer.js';
import type { JobStore } from '../../src/store/job-store.js';
import type { StoredValue } from '../../src/store/stored-value.js';
import { anchoredTime } from '../../src/time/anchored-time.js';
import { quietLogger } from '../support/quiet-logger.js';

type Append = JobStore['append'];

function createWriter(
  append: Append,
  pending: StoredValue[],
  onFenced: () => void = () => undefined,
): StoreWriter {
  return new StoreWriter({
    store: {
      open: () => Promise.resolve(true),
      readAll: () => Promise.resolve([]),
      append,
    },
    epoch: 1,
    time: anchoredTime(),
    logger: quietLogger,
    collect: () => pending.splice(0),
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
