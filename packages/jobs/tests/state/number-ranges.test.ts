import fc from 'fast-check';
import t from 'tap';

import { NumberRanges } from '../../src/state/number-ranges.js';

const number = fc.integer({ min: 0, max: 40 });

t.test('holds the numbers that were added, in ranges with gaps between', t => {
  fc.assert(
    fc.property(fc.array(fc.tuple(number, number)), pairs => {
      const ranges = new NumberRanges();
      const expected = new Set<number>();
      for (const [one, other] of pairs) {
        const first = Math.min(one, other);
        const last = Math.max(one, other);
        ranges.addRange(first, last);
        for (let value = first; value <= last; value += 1) {
          expected.add(value);
        }
      }
      t.equal(ranges.count, expected.size);
      const values = Array.from({ length: 42 }, (_, value) => value);
      t.same(
        values.filter(value => ranges.nextMissing(value) !== value),
        values.filter(value => expected.has(value)),
      );
      const rows = ranges.toRows();
      const touching = rows.filter(([first], position) => {
        const before = rows[position - 1];
        return before !== undefined && first <= before[1] + 1;
      });
      t.same(touching, []);
    }),
    { seed: 1, numRuns: 100 },
  );
  t.end();
});
