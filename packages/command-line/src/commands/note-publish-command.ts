import { randomUUID } from 'node:crypto';

import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { PeerRefusedError } from '@basilcourse/foundation/errors/peer-refused-error';
import { Command, Option } from 'clipanion';

import { ExitCode } from '../exit-code.js';
import type { NoteVerdictView } from '../note/note-verdict-view.js';
import { readNoteFile } from '../note/read-note-file.js';
import { BaseCommand } from './base-command.js';

const PUBLISH_TIMEOUT_MILLISECONDS = 15_000;

const HTTP_GATEWAY_TIMEOUT = 504;

/** `basilcourse release-note publish`. */
export class NotePublishCommand extends BaseCommand {
  public static override paths = [['release-note', 'publish']];

  public static override usage = Command.Usage({
    category: 'Release notes',
    description: 'Publishes a release note and waits until it is in force.',
    details:
      'Reports a note as in force only after it was read back. Exit code 1: refused or rejected; 3: unknown, publish again with the same --id to find out.',
    examples: [
      [
        'Publish a note',
        'basilcourse release-note publish note.ini --entries 127.0.0.1:7400',
      ],
    ],
  });

  public file = Option.String();

  public id = Option.String('--id', {
    description: 'Identifier of this publication; a repeat counts once.',
  });

  public override execute(): Promise<number> {
    return this.handleErrors(async () => {
      const { text, problems } = await readNoteFile(this.file);
      if (problems.length > 0) {
        for (const problem of problems) {
          this.printError(problem);
        }
        return ExitCode.failure;
      }
      return this.publish(text, this.id ?? `note-${randomUUID()}`);
    });
  }

  private async publish(text: string, id: string): Promise<number> {
    try {
      const verdict = (await this.client.call({
        step: 'operator.publish',
        method: 'POST',
        path: '/release-notes',
        body: { id, text },
        timeoutMilliseconds: PUBLISH_TIMEOUT_MILLISECONDS,
      })) as NoteVerdictView;
      return this.report(verdict);
    } catch (error) {
      if (
        error instanceof PeerRefusedError &&
        error.status !== HTTP_GATEWAY_TIMEOUT
      ) {
        this.printError(error.message);
        return ExitCode.failure;
      }
      return this.findVerdict(id, messageOf(error));
    }
  }

  /** Looks up the verdict on a note whose publication was not answered. */
  private async findVerdict(id: string, reason: string): Promise<number> {
    try {
      const notes = (await this.client.get(
        'operator.notes',
        '/notes',
      )) as readonly NoteVerdictView[];
      const verdict = notes.find(note => note.id === id);
      if (verdict !== undefined) {
        return this.report(verdict);
      }
    } catch (error) {
      this.printError(messageOf(error));
    }
    this.printError(`It is unknown whether the note was published: ${reason}`);
    this.printError(`Publish again with --id ${id} to find out.`);
    return ExitCode.unknown;
  }

  private report(verdict: NoteVerdictView): number {
    if (this.json) {
      this.printJson(verdict);
    } else if (verdict.accepted) {
      this.print(
        `Note ${verdict.name} is in force as revision ${verdict.revision}.`,
      );
    } else {
      this.printError(`Note ${verdict.name} was rejected:`);
      for (const reason of verdict.reasons) {
        this.printError(`  ${reason}`);
      }
    }
    return verdict.accepted ? ExitCode.success : ExitCode.failure;
  }
}
