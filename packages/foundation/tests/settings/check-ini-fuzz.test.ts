import fc from 'fast-check';
import t from 'tap';

import { checkIni } from '../../src/settings/check-ini.js';
import type { SectionDefinition } from '../../src/settings/section-definition.js';

const RUNS = 2000;

const definitions: readonly SectionDefinition[] = [
  {
    kind: 'process',
    named: false,
    required: true,
    description: 'The process.',
    fields: [
      { key: 'name', kind: 'text', description: 'Its name.' },
      {
        key: 'count',
        kind: 'whole-number',
        description: 'How many.',
        minimum: 1,
        maximum: 9,
      },
    ],
  },
  {
    kind: 'worker',
    named: true,
    required: false,
    description: 'A worker.',
    fields: [{ key: 'name', kind: 'text', description: 'Its name.' }],
  },
];

const words = fc.constantFrom(
  ...['process', 'worker', 'worker a', 'name', 'count', '1', '10', ''],
  ...['__proto__', 'constructor', 'toString', 'a.b', '[]', '"', ';', '=', '\\'],
);

const lines = fc.oneof(
  words.map(word => `[${word}]`),
  fc.tuple(words, words).map(([key, value]) => `${key} = ${value}`),
  fc.string(),
);

t.test('checking an arbitrary text never throws', t => {
  fc.assert(
    fc.property(fc.array(lines, { maxLength: 12 }), parts => {
      const { sections, problems } = checkIni(parts.join('\n'), definitions);
      const kinds = sections.map(({ kind }) => kind);
      const allDefined = kinds.every(
        kind => kind === 'process' || kind === 'worker',
      );
      const allDescribed = problems.every(({ found, allowed }) => {
        return typeof found === 'string' && typeof allowed === 'string';
      });
      return allDefined && allDescribed;
    }),
    { seed: 1, numRuns: RUNS },
  );
  t.equal(Object.getPrototypeOf({}), Object.prototype);
  t.notOk('name' in {}, 'no text modifies Object.prototype');
  t.end();
});
