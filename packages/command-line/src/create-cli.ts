import { Builtins, Cli } from 'clipanion';

import { ExplainCommand } from './commands/explain-command.js';
import { NoteCheckCommand } from './commands/note-check-command.js';
import { NoteDifferenceCommand } from './commands/note-difference-command.js';
import { NoteHistoryCommand } from './commands/note-history-command.js';
import { NoteInForceCommand } from './commands/note-in-force-command.js';
import { NotePublishCommand } from './commands/note-publish-command.js';
import { NoteShowCommand } from './commands/note-show-command.js';
import { ReferenceCommand } from './commands/reference-command.js';
import { StatusCommand } from './commands/status-command.js';
import { TimelineCommand } from './commands/timeline-command.js';

/** Creates the command-line tool with all its commands. */
export function createCli(): Cli {
  const cli = new Cli({
    binaryLabel: 'basilcourse',
    binaryName: 'basilcourse',
    binaryVersion: '0.1.0',
    enableColors: process.stdout.isTTY,
  });
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  cli.register(NoteCheckCommand);
  cli.register(NotePublishCommand);
  cli.register(NoteInForceCommand);
  cli.register(NoteHistoryCommand);
  cli.register(NoteShowCommand);
  cli.register(NoteDifferenceCommand);
  cli.register(ReferenceCommand);
  cli.register(StatusCommand);
  cli.register(ExplainCommand);
  cli.register(TimelineCommand);
  return cli;
}
