import { compareTimestamps } from './compare-timestamps.js';
import type { Event } from './event.js';
import type { EventPage } from './event-page.js';

function compareEvents(left: Event, right: Event): number {
  return (
    compareTimestamps(left.timestamp, right.timestamp) ||
    left.process.localeCompare(right.process) ||
    left.sequence - right.sequence
  );
}

/** Merges the events of several processes into causal order. */
export function mergePages(pages: readonly EventPage[]): readonly Event[] {
  return pages.flatMap(page => page.events).sort(compareEvents);
}
