import { Command, Option } from 'clipanion';

import { ExitCode } from '../exit-code.js';
import type { ConfigurationView } from '../note/configuration-view.js';
import { noteDifference } from '../note/note-difference.js';
import { readNoteFile } from '../note/read-note-file.js';
import { BaseCommand } from './base-command.js';

/** `basilcourse release-note difference`. */
export class NoteDifferenceCommand extends BaseCommand {
  public static override paths = [['release-note', 'difference']];

  public static override usage = Command.Usage({
    category: 'Release notes',
    description: 'Shows what a note would change of what is in force.',
    examples: [
      ['Compare a note', 'basilcourse release-note difference note.ini'],
    ],
  });

  public file = Option.String();

  public override execute(): Promise<number> {
    return this.handleErrors(async () => {
      const { note, problems } = await readNoteFile(this.file);
      if (problems.length > 0) {
        for (const problem of problems) {
          this.printError(problem);
        }
        return ExitCode.failure;
      }
      const view = (await this.client.get(
        'operator.in-force',
        '/configuration',
      )) as ConfigurationView;
      const lines = noteDifference(view, note);
      if (this.json) {
        this.printJson({ revision: view.revision, changes: lines });
      } else {
        this.print(lines.length === 0 ? 'No change.' : lines.join('\n'));
      }
      return ExitCode.success;
    });
  }
}
