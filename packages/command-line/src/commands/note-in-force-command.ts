import { Command } from 'clipanion';

import { ExitCode } from '../exit-code.js';
import { formatTable } from '../format/format-table.js';
import type { ConfigurationView } from '../note/configuration-view.js';
import { BaseCommand } from './base-command.js';

/** `basilcourse release-note in-force`. */
export class NoteInForceCommand extends BaseCommand {
  public static override paths = [['release-note', 'in-force']];

  public static override usage = Command.Usage({
    category: 'Release notes',
    description: 'Shows the configuration in force.',
    examples: [['Show it', 'basilcourse release-note in-force']],
  });

  public override execute(): Promise<number> {
    return this.handleErrors(async () => {
      const view = (await this.client.get(
        'operator.in-force',
        '/configuration',
      )) as ConfigurationView;
      if (this.json) {
        this.printJson(view);
        return ExitCode.success;
      }
      this.print(`Revision ${view.revision}`);
      this.print(
        formatTable([
          ['kind', 'name', 'team', 'processors', 'memory', 'minions'],
          ...view.services.map(service => [
            'service',
            service.name,
            service.team,
            String(service.resources.processors),
            String(service.resources.memoryGigabytes),
            String(service.minions),
          ]),
          ...view.jobs.map(job => [
            'job',
            job.name,
            job.team,
            String(job.resources.processors),
            String(job.resources.memoryGigabytes),
            '',
          ]),
        ]),
      );
      return ExitCode.success;
    });
  }
}
