import { writeFile } from 'node:fs/promises';

import type { Event } from '@basilcourse/foundation/events/event';
import { Command, Option, UsageError } from 'clipanion';

import { ExitCode } from '../exit-code.js';
import type { EventFilter } from '../timeline/event-filter.js';
import { matchesFilter } from '../timeline/event-filter.js';
import { formatEvents } from '../timeline/format-events.js';
import { gatherEvents } from '../timeline/gather-events.js';
import { timelinePage } from '../timeline/timeline-page.js';
import { BaseCommand } from './base-command.js';

const FOLLOW_INTERVAL_MILLISECONDS = 1000;

const formats = {
  text: formatEvents,
  'json-lines': (events: readonly Event[]) =>
    events.map(event => JSON.stringify(event)).join('\n'),
  html: timelinePage,
} as const;

function isFormat(name: string): name is keyof typeof formats {
  return name in formats;
}

/** `basilcourse timeline`. */
export class TimelineCommand extends BaseCommand {
  public static override paths = [['timeline']];

  public static override usage = Command.Usage({
    category: 'Looking',
    description: 'Shows the events of all processes in causal order.',
    examples: [
      ['All events', 'basilcourse timeline'],
      ['Why a label was late', 'basilcourse timeline --request request-1f2e'],
      ['A picture', 'basilcourse timeline --format html --output line.html'],
      ['Live', 'basilcourse timeline --follow --kind attempt'],
    ],
  });

  public job = Option.String('--job');

  public request = Option.String('--request');

  public worker = Option.String('--worker');

  public kind = Option.String('--kind');

  public from = Option.String('--from', {
    description: 'Earliest time, as 2026-12-04T10:00:00Z.',
  });

  public format = Option.String('--format', 'text', {
    description: `One of ${Object.keys(formats).join(', ')}.`,
  });

  public output = Option.String('--output', { description: 'File to write.' });

  public follow = Option.Boolean('--follow', false, {
    description: 'Goes on with new events until interrupted.',
  });

  public override execute(): Promise<number> {
    return this.handleErrors(async () => {
      const { format } = this;
      if (!isFormat(format)) {
        const choices = Object.keys(formats).join(', ');
        throw new UsageError(`--format must be one of ${choices}.`);
      }
      const filter = this.filter();
      const gathered = await gatherEvents(this.client, 0);
      for (const message of gathered.missing) {
        this.printError(message);
      }
      const matching = gathered.events.filter(event =>
        matchesFilter(event, filter),
      );
      await this.write(formats[format](matching));
      if (this.follow) {
        await this.followFrom(gathered.events, filter);
      }
      return ExitCode.success;
    });
  }

  private filter(): EventFilter {
    const from = this.from === undefined ? undefined : Date.parse(this.from);
    if (Number.isNaN(from)) {
      throw new UsageError(
        '--from must be a time such as 2026-12-04T10:00:00Z.',
      );
    }
    const { job, request, worker, kind } = this;
    return { job, request, worker, kind, from };
  }

  private async write(text: string): Promise<void> {
    if (this.output === undefined) {
      this.print(text);
    } else {
      await writeFile(this.output, text);
    }
  }

  private async followFrom(
    shownEvents: readonly Event[],
    filter: EventFilter,
  ): Promise<void> {
    const lastSequences = new Map<string, number>();
    const recordSequence = (event: Event): void => {
      const last = lastSequences.get(event.process) ?? 0;
      lastSequences.set(event.process, Math.max(last, event.sequence));
    };
    shownEvents.forEach(recordSequence);
    for (;;) {
      await new Promise(resolve =>
        setTimeout(resolve, FOLLOW_INTERVAL_MILLISECONDS),
      );
      const { events } = await gatherEvents(this.client, 0);
      const newEvents = events.filter(
        event => event.sequence > (lastSequences.get(event.process) ?? 0),
      );
      newEvents.forEach(recordSequence);
      const matching = newEvents.filter(event => matchesFilter(event, filter));
      if (matching.length > 0) {
        this.print(formatEvents(matching));
      }
    }
  }
}
