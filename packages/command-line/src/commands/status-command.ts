import { Command } from 'clipanion';

import { ExitCode } from '../exit-code.js';
import { formatStatus } from '../status/format-status.js';
import type { StatusView } from '../status/status-view.js';
import { BaseCommand } from './base-command.js';

/** `basilcourse status`. */
export class StatusCommand extends BaseCommand {
  public static override paths = [['status']];

  public static override usage = Command.Usage({
    category: 'Looking',
    description: 'Shows what is in force, what runs and what waits, and why.',
    examples: [['Show it', 'basilcourse status --entries 127.0.0.1:7400']],
  });

  public override execute(): Promise<number> {
    return this.handleErrors(async () => {
      const status = (await this.client.get(
        'operator.status',
        '/status',
      )) as StatusView;
      if (this.json) {
        this.printJson(status);
      } else {
        this.print(formatStatus(status));
      }
      return ExitCode.success;
    });
  }
}
