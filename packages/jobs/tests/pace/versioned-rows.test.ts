import t from 'tap';

import { VersionedRows } from '../../src/pace/versioned-rows.js';

t.test('what changed noticeably since a version', t => {
  const rows = new VersionedRows<number>((noted, row) => row - noted >= 10);
  rows.set('a', 1);
  rows.set('b', 100);
  const first = rows.version;
  t.same(rows.since(0), [1, 100]);
  t.same(rows.since(first), []);
  rows.set('a', 5);
  t.equal(rows.get('a'), 5, 'a row is always the newest');
  t.same(rows.since(first), [], 'a small change is not told');
  rows.set('a', 9);
  rows.set('a', 12);
  t.same(rows.since(first), [12], 'small changes add up');
  t.same(rows.since(rows.version), []);
  t.same([...rows.since(0)].sort(), [100, 12]);
  t.end();
});
