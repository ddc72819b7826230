import t from 'tap';

import { VersionedRows } from '../../src/interference/versioned-rows.js';

t.test('lists the rows that changed noticeably since a version', t => {
  const rows = new VersionedRows<number>(
    (versionedRow, row) => row - versionedRow >= 10,
  );
  rows.set('a', 1);
  rows.set('b', 100);
  const first = rows.version;
  t.same(rows.since(0), [1, 100]);
  t.same(rows.since(first), []);
  rows.set('a', 5);
  t.equal(rows.get('a'), 5, 'the newest row is returned');
  t.same(rows.since(first), [], 'a small change is not listed');
  rows.set('a', 9);
  rows.set('a', 12);
  t.same(rows.since(first), [12], 'small changes add up');
  t.same(rows.since(rows.version), []);
  t.same([...rows.since(0)].sort(), [100, 12]);
  t.end();
});
