import t from 'tap';

import { checkIni } from '../../src/settings/check-ini.js';
import { formatProblem } from '../../src/settings/format-problem.js';
import { referencePage } from '../../src/settings/reference-page.js';
import type { SectionDefinition } from '../../src/settings/section-definition.js';

const definitions: readonly SectionDefinition[] = [
  {
    kind: 'server',
    named: false,
    required: true,
    description: 'The server.',
    fields: [
      { key: 'address', kind: 'address', description: 'Where it listens.' },
      {
        key: 'slots',
        kind: 'whole-number',
        description: 'Slots.',
        fallback: '8',
        minimum: 1,
        maximum: 64,
      },
      {
        key: 'mode',
        kind: 'choice',
        choices: ['fast', 'safe'],
        description: 'Mode.',
        fallback: 'safe',
      },
    ],
  },
  {
    kind: 'team',
    named: true,
    required: false,
    description: 'A team.',
    fields: [
      { key: 'weight', kind: 'number', description: 'Weight.', fallback: '1' },
    ],
  },
];

const valid = [
  '[server]\naddress = 127.0.0.1:80\n',
  '[server]\naddress = [::1]:80\nslots = 64\nmode = fast\n',
  '; a remark\n[server]\naddress = 10.0.0.1:0\n[team salt-1]\nweight = 1.5\n',
];

for (const text of valid) {
  t.test(`valid: ${JSON.stringify(text)}`, t => {
    t.same(checkIni(text, definitions).problems, []);
    t.end();
  });
}

const invalid = [
  { text: '', key: '' },
  { text: '[server]\n', key: 'address' },
  { text: '[server]\naddress = localhost:80\n', key: 'address' },
  { text: '[server]\naddress = 127.0.0.1:99999\n', key: 'address' },
  { text: '[server]\naddress = 127.0.0.1:80\nslots = 0\n', key: 'slots' },
  { text: '[server]\naddress = 127.0.0.1:80\nslots = 1e9\n', key: 'slots' },
  { text: '[server]\naddress = 127.0.0.1:80\nslot = 3\n', key: 'slot' },
  { text: '[server]\naddress = 127.0.0.1:80\nmode = quick\n', key: 'mode' },
  { text: '[serve]\naddress = 127.0.0.1:80\n', key: '' },
  { text: '[server]\naddress = 127.0.0.1:80\n[team Salt]\n', key: '' },
  { text: '[server]\naddress = 127.0.0.1:80\n[team a.b]\n', key: '' },
  {
    text: '[server]\naddress = 127.0.0.1:80\nslots = 1\nslots = 2\n',
    key: 'slots',
  },
  { text: 'stray = 1\n[server]\naddress = 127.0.0.1:80\n', key: 'stray' },
  {
    text: '[__proto__]\npolluted = 1\n[server]\naddress = 127.0.0.1:80\n',
    key: '',
  },
];

t.test('invalid texts are reported with line, key, found and allowed', t => {
  const reported = invalid.map(({ text, key }) => {
    const { problems } = checkIni(text, definitions);
    t.ok(
      problems.some(problem => problem.key === key),
      text,
    );
    return problems.map(problem => formatProblem('file.ini', problem));
  });
  t.matchSnapshot(reported.flat().join('\n'));
  t.end();
});

t.test('the reference page is generated from the section definitions', t => {
  t.matchSnapshot(referencePage('Server', definitions));
  t.end();
});
