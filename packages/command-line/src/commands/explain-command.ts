import { Command, Option, UsageError } from 'clipanion';

import { ExitCode } from '../exit-code.js';
import type { ExplanationView } from '../explain/explanation-view.js';
import { formatExplanation } from '../explain/format-explanation.js';
import { formatEvents } from '../timeline/format-events.js';
import { gatherEvents } from '../timeline/gather-events.js';
import { BaseCommand } from './base-command.js';

const KINDS = ['job', 'service', 'worker', 'request'];

/** `basilcourse explain`. */
export class ExplainCommand extends BaseCommand {
  public static override paths = [['explain']];

  public static override usage = Command.Usage({
    category: 'Looking',
    description:
      'Explains what was decided about a job, service, worker or request.',
    examples: [
      ['Why a job waits', 'basilcourse explain job reconcile-landings'],
      ['Why a label was late', 'basilcourse explain request request-1f2e'],
    ],
  });

  public kind = Option.String();

  public subject = Option.String();

  public override execute(): Promise<number> {
    return this.handleErrors(() => {
      if (!KINDS.includes(this.kind)) {
        throw new UsageError(`The kind must be one of ${KINDS.join(', ')}.`);
      }
      return this.kind === 'request'
        ? this.explainRequest()
        : this.explainSubject();
    });
  }

  private async explainRequest(): Promise<number> {
    const { events, missing } = await gatherEvents(this.client, 0);
    const requestEvents = events.filter(({ request }) =>
      request?.startsWith(this.subject),
    );
    for (const message of missing) {
      this.printError(message);
    }
    if (requestEvents.length === 0) {
      this.printError(`No process has an event of request ${this.subject}.`);
      return ExitCode.failure;
    }
    if (this.json) {
      this.printJson(requestEvents);
    } else {
      this.print(formatEvents(requestEvents));
    }
    return ExitCode.success;
  }

  private async explainSubject(): Promise<number> {
    const path = `/explain?subject=${encodeURIComponent(this.subject)}`;
    const view = (await this.client.get(
      'operator.explain',
      path,
    )) as ExplanationView;
    if (this.json) {
      this.printJson(view);
    } else {
      this.print(formatExplanation(view));
    }
    return ExitCode.success;
  }
}
