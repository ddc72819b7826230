import fc from 'fast-check';
import t from 'tap';

import { recordBytes } from '../../src/store/record-bytes.js';
import { splitAppends } from '../../src/store/split-appends.js';

// Guards against appends that the store refuses, again and again.
t.test('each append fits, and the order stays', t => {
  const value = fc.record({
    key: fc.string({ minLength: 1, maxLength: 40 }),
    value: fc.option(fc.string({ unit: 'binary', maxLength: 400 }), {
      nil: undefined,
    }),
  });
  fc.assert(
    fc.property(
      fc.array(value, { maxLength: 60 }),
      fc.integer({ min: 50, max: 500 }),
      fc.integer({ min: 0, max: 3000 }),
      (values, recordLimit, more) => {
        const overheadBytes = 5;
        const appendBytes = recordLimit + overheadBytes + more;
        const limits = { recordBytes: recordLimit, appendBytes, overheadBytes };
        const { appends, oversized } = splitAppends(values, limits);
        const sizes = appends.map(append =>
          append.reduce((sum, row) => sum + recordBytes(row) + 5, 0),
        );
        const fitting = values.filter(row => recordBytes(row) <= recordLimit);
        return (
          sizes.every(size => size <= appendBytes) &&
          JSON.stringify(appends.flat()) === JSON.stringify(fitting) &&
          oversized.length + fitting.length === values.length
        );
      },
    ),
    { numRuns: 300, seed: 31 },
  );
  t.end();
});

t.test('values that fit together are one append', t => {
  const limits = { recordBytes: 100, appendBytes: 1000, overheadBytes: 5 };
  const values = Array.from({ length: 9 }, (_, index) => ({
    key: `${index}`,
    value: 'v',
  }));
  t.equal(splitAppends(values, limits).appends.length, 1);
  t.same(splitAppends([], limits), { appends: [], oversized: [] });
  t.end();
});
