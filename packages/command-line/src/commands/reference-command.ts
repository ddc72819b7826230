import { referencePage } from '@basilcourse/foundation/settings/reference-page';
import { releaseNoteFormat } from '@basilcourse/shared-state/release-note/release-note-format';
import { Command } from 'clipanion';

import { ExitCode } from '../exit-code.js';
import { BaseCommand } from './base-command.js';

/** `basilcourse release-note reference`. */
export class ReferenceCommand extends BaseCommand {
  public static override paths = [['release-note', 'reference']];

  public static override usage = Command.Usage({
    category: 'Release notes',
    description: 'Writes the reference page of release notes.',
    examples: [['Write it', 'basilcourse release-note reference']],
  });

  public override execute(): Promise<number> {
    this.print(referencePage('Release notes', releaseNoteFormat));
    return Promise.resolve(ExitCode.success);
  }
}
