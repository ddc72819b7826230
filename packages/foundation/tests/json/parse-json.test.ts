import fc from 'fast-check';
import t from 'tap';

import { UnreadableMessageError } from '../../src/errors/unreadable-message-error.js';
import { parseJson } from '../../src/json/parse-json.js';

t.test('any value that is not nested deeply is read as it was written', t => {
  fc.assert(
    fc.property(fc.jsonValue({ maxDepth: 20 }), value => {
      const text = JSON.stringify(value);
      t.same(parseJson('test.read', 'peer', text), JSON.parse(text));
    }),
    { seed: 3, numRuns: 200 },
  );
  t.end();
});

t.test('what is not JSON, or nested deeply, is an error', t => {
  const deep = (count: number): string => '['.repeat(count) + ']'.repeat(count);
  for (const text of ['', '{', '[1,]', '"', deep(33), '{"a":'.repeat(9999)]) {
    t.throws(
      () => parseJson('test.read', 'peer', text),
      UnreadableMessageError,
      text.slice(0, 40),
    );
  }
  t.same(parseJson('test.read', 'peer', deep(3)), [[[]]]);
  t.doesNotThrow(() => parseJson('test.read', 'peer', deep(32)));
  const brackets = JSON.stringify(`\\"${deep(50)}"`);
  t.equal(parseJson('test.read', 'peer', brackets), `\\"${deep(50)}"`);
  t.end();
});
