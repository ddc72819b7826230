import { Command, Option } from 'clipanion';

import { ExitCode } from '../exit-code.js';
import type { NoteVerdictView } from '../note/note-verdict-view.js';
import { BaseCommand } from './base-command.js';

/** `basilcourse release-note show`. */
export class NoteShowCommand extends BaseCommand {
  public static override paths = [['release-note', 'show']];

  public static override usage = Command.Usage({
    category: 'Release notes',
    description: 'Shows the text of a published note.',
    examples: [['Show a note', 'basilcourse release-note show first-note']],
  });

  public noteName = Option.String();

  public override execute(): Promise<number> {
    return this.handleErrors(async () => {
      const notes = (await this.client.get(
        'operator.notes',
        '/notes',
      )) as readonly NoteVerdictView[];
      const found = notes.findLast(
        ({ name, id }) => name === this.noteName || id === this.noteName,
      );
      if (found === undefined) {
        this.printError(`No note ${this.noteName} was published.`);
        return ExitCode.failure;
      }
      if (this.json) {
        this.printJson(found);
      } else {
        this.print(found.text.trim());
      }
      return ExitCode.success;
    });
  }
}
