import { formatProblem } from '@basilcourse/foundation/settings/format-problem';
import t from 'tap';

import { parseSettings } from '../../src/settings/parse-settings.js';

const entrySettings = `
[process]
name = entry-1
role = entry
region = dalmatia
availability-zone = dalmatia-1
[addresses]
control = 127.0.0.1:7000
operators = 127.0.0.1:7001
callers = 127.0.0.1:7002
log = 127.0.0.1:7100
entries = 127.0.0.1:7000, 127.0.0.1:7010
[security]
key = a key
`;

t.test('a valid file has no problems', t => {
  const { settings, problems } = parseSettings(entrySettings);
  t.same(problems, []);
  t.same(settings.entries, ['127.0.0.1:7000', '127.0.0.1:7010']);
  t.equal(settings.routing, 'expected-time');
  t.equal(settings.shutdownSeconds, 30);
  t.end();
});

const invalidSettings = [
  entrySettings.replace('role = entry', 'role = agent'),
  entrySettings.replace('role = entry', 'role = entrance'),
  entrySettings.replace('control = 127.0.0.1:7000', 'control = here:7000'),
  entrySettings.replace('7000, 127.0.0.1:7010', '7000, nowhere'),
  entrySettings.replace('key = a key', 'kee = a key'),
  entrySettings.replace('name = entry-1', 'name = Entry One'),
  entrySettings.replace('[security]\nkey = a key\n', ''),
];

t.test('a problem names file, section, key, found and allowed', t => {
  const reported = invalidSettings.flatMap(text => {
    const { problems } = parseSettings(text);
    t.not(problems.length, 0);
    return problems.map(problem => formatProblem('entry.ini', problem));
  });
  t.matchSnapshot(reported.join('\n'));
  t.end();
});
