import type { Event } from '@basilcourse/foundation/events/event';

import { formatTable } from '../format/format-table.js';

/** Formats events as text, one per line. */
export function formatEvents(events: readonly Event[]): string {
  return formatTable(
    events.map(event => [
      new Date(event.timestamp.wall).toISOString().slice(11, 23),
      event.process,
      event.kind,
      event.text,
    ]),
  );
}
