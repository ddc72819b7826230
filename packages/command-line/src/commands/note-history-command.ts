import { Command } from 'clipanion';

import { ExitCode } from '../exit-code.js';
import { formatTable } from '../format/format-table.js';
import type { NoteVerdictView } from '../note/note-verdict-view.js';
import { BaseCommand } from './base-command.js';

/** `basilcourse release-note history`. */
export class NoteHistoryCommand extends BaseCommand {
  public static override paths = [['release-note', 'history']];

  public static override usage = Command.Usage({
    category: 'Release notes',
    description: 'Lists the published notes with what became of them.',
    examples: [['List them', 'basilcourse release-note history']],
  });

  public override execute(): Promise<number> {
    return this.handleErrors(async () => {
      const notes = (await this.client.get(
        'operator.notes',
        '/notes',
      )) as readonly NoteVerdictView[];
      if (this.json) {
        this.printJson(notes);
        return ExitCode.success;
      }
      this.print(
        formatTable([
          ['offset', 'name', 'operator', 'verdict', 'revision', 'reasons'],
          ...notes.map(note => [
            String(note.offset),
            note.name,
            note.operator,
            note.accepted ? 'in force' : 'rejected',
            String(note.revision),
            note.reasons.join('; '),
          ]),
        ]),
      );
      return ExitCode.success;
    });
  }
}
