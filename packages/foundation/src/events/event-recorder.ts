import type { EventKind } from './event-kind.js';
import type { EventSubject } from './event-subject.js';

/** Records events of one process. */
export interface EventRecorder {
  readonly record: (
    kind: EventKind,
    text: string,
    subject?: EventSubject,
  ) => void;
}
