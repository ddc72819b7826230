import type { Event } from '@basilcourse/foundation/events/event';

/** Conditions on the events to show; undefined means no condition. */
export interface EventFilter {
  readonly job: string | undefined;
  readonly request: string | undefined;
  readonly worker: string | undefined;
  readonly kind: string | undefined;
  /** Earliest wall time in milliseconds since the epoch. */
  readonly from: number | undefined;
}

function containsExpected(
  value: string | undefined,
  expected: string | undefined,
): boolean {
  return expected === undefined || value?.includes(expected) === true;
}

/** Returns whether an event meets all conditions of a filter. */
export function matchesFilter(event: Event, filter: EventFilter): boolean {
  return (
    containsExpected(event.job, filter.job) &&
    containsExpected(event.request, filter.request) &&
    containsExpected(event.worker, filter.worker) &&
    containsExpected(event.kind, filter.kind) &&
    (filter.from === undefined || event.timestamp.wall >= filter.from)
  );
}
