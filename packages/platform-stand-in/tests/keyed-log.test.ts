import t from 'tap';

import { KeyedLog } from '../src/metadata-store/keyed-log.js';

function record(key: string, value: string): Buffer {
  const name = Buffer.from(key);
  const content = Buffer.concat([
    Buffer.from([name.length]),
    name,
    Buffer.from(value),
  ]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

t.test('appends follow the conditions of the protocol page', t => {
  const log = new KeyedLog(20, 60);
  const writer = (epoch: number, sequence?: number): object => ({
    producer: 'p',
    epoch,
    sequence,
  });
  const statusOf = (body: Buffer, conditions: object): number =>
    log.append(body, conditions).status;
  t.equal(statusOf(record('a', '1'), writer(2, 0)), 200);
  t.equal(statusOf(record('a', '1'), writer(2, 0)), 200, 'a repeat');
  t.equal(log.end, 1, 'is not stored again');
  t.equal(statusOf(record('a', '2'), writer(2, 5)), 409, 'a gap');
  t.equal(statusOf(record('a', '2'), writer(1, 1)), 409, 'a lower epoch');
  t.equal(statusOf(Buffer.alloc(0), writer(3)), 200, 'sets the epoch');
  t.equal(statusOf(record('a', '2'), writer(2, 1)), 409, 'fenced');
  t.equal(statusOf(record('a', '3'), { expectedEnd: 7 }), 412);
  t.equal(statusOf(record('a', '3'), { expectedEnd: 1 }), 200);
  t.equal(log.valueOf('a'), '3');
  t.end();
});

t.test('what is too large is refused as a whole', t => {
  const log = new KeyedLog(20, 60);
  const large = record('large', 'x'.repeat(20));
  t.equal(log.append(Buffer.concat([record('a', '1'), large]), {}).status, 400);
  const many = Array.from({ length: 9 }, () => record('b', '1234567'));
  t.equal(log.append(Buffer.concat(many), {}).status, 400);
  t.equal(log.end, 0);
  t.end();
});

t.test('the newest value of each key is kept, in the order of the keys', t => {
  const log = new KeyedLog(100, 1000);
  log.write('b', '1');
  log.write('a', '1');
  log.write('b', '2');
  log.append(record('a', ''), {});
  log.write('c', '3');
  const names = (after: string): string =>
    log
      .newest(after)
      .map(({ key, value }) => `${key}=${value.toString()}`)
      .join();
  t.equal(names(''), 'b=2,c=3');
  t.equal(names('b'), 'c=3');
  t.end();
});
