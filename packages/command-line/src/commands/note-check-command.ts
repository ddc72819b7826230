import { Command, Option } from 'clipanion';

import { ExitCode } from '../exit-code.js';
import { readNoteFile } from '../note/read-note-file.js';
import { BaseCommand } from './base-command.js';

/** `basilcourse release-note check`. */
export class NoteCheckCommand extends BaseCommand {
  public static override paths = [['release-note', 'check']];

  public static override usage = Command.Usage({
    category: 'Release notes',
    description: 'Checks the text of a release note without an entry.',
    examples: [['Check a note', 'basilcourse release-note check note.ini']],
  });

  public file = Option.String();

  public override execute(): Promise<number> {
    return this.handleErrors(async () => {
      const { note, problems } = await readNoteFile(this.file);
      if (this.json) {
        this.printJson({ name: note.name, problems });
      } else {
        for (const problem of problems) {
          this.printError(problem);
        }
      }
      if (problems.length > 0) {
        return ExitCode.failure;
      }
      if (!this.json) {
        this.print(`The text of note ${note.name} is valid.`);
      }
      return ExitCode.success;
    });
  }
}
