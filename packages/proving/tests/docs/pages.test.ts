import { readFile } from 'node:fs/promises';

import { parseSettings } from '@basilcourse/daemon/settings/parse-settings';
import { settingsFormat } from '@basilcourse/daemon/settings/settings-format';
import { referencePage } from '@basilcourse/foundation/settings/reference-page';
import { StateFold } from '@basilcourse/shared-state/fold/state-fold';
import { releaseNoteFormat } from '@basilcourse/shared-state/release-note/release-note-format';
import t from 'tap';

const root = new URL('../../../../../', import.meta.url);

function read(file: string): Promise<string> {
  return readFile(new URL(file, root), 'utf8');
}

t.test('the reference pages match the formats', async t => {
  const notes = referencePage('Release notes', releaseNoteFormat);
  t.equal(await read('docs/RELEASE-NOTES.md'), notes);
  const settings = referencePage('Settings of a daemon', settingsFormat);
  t.equal(await read('docs/SETTINGS.md'), settings);
});

for (const file of ['entry.ini', 'agent.ini']) {
  t.test(`example settings ${file} are valid`, async t => {
    t.same(parseSettings(await read(`examples/${file}`)).problems, []);
  });
}

for (const file of ['jadranski-trag.ini', 'tidewrack.ini']) {
  t.test(`example release note ${file} is accepted`, async t => {
    const text = await read(`examples/${file}`);
    const fold = new StateFold();
    fold.apply({
      offset: 0,
      envelope: {
        id: 'note',
        kind: 'release-note',
        version: 1,
        writer: 'operator',
        writtenAt: 0,
        body: { operator: 'operator', text },
      },
    });
    t.same(
      [...fold.configuration.verdicts.values()].map(({ reasons }) => reasons),
      [[]],
    );
  });
}
