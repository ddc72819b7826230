import type { Clock } from '../clock/clock.js';
import type { Event } from './event.js';
import type { EventKind } from './event-kind.js';
import type { EventPage } from './event-page.js';
import type { EventRecorder } from './event-recorder.js';
import type { EventSubject } from './event-subject.js';
import { HybridClock } from './hybrid-clock.js';

/** Default number of events that a process retains. */
export const DEFAULT_RING_EVENTS = 4096;

/** Maximum length of the text of one event; longer texts are cut off. */
const MAXIMUM_TEXT_CHARACTERS = 400;

/** A ring buffer of the most recent events of one process. */
export class EventRing implements EventRecorder {
  public readonly hybridClock = new HybridClock();

  private readonly slots: Event[] = [];

  private nextSequence = 1;

  public constructor(
    private readonly process: string,
    private readonly clock: Clock,
    private readonly capacity = DEFAULT_RING_EVENTS,
  ) {}

  public readonly record = (
    kind: EventKind,
    text: string,
    subject: EventSubject = {},
  ): void => {
    const sequence = this.nextSequence;
    this.nextSequence += 1;
    this.slots[sequence % this.capacity] = {
      timestamp: this.hybridClock.stamp(this.clock.now()),
      process: this.process,
      sequence,
      kind,
      text: text.slice(0, MAXIMUM_TEXT_CHARACTERS),
      ...subject,
    };
  };

  /** Returns the retained events after a sequence number, oldest first. */
  public since(sequence: number): EventPage {
    const oldestSequence = Math.max(1, this.nextSequence - this.capacity);
    const first = Math.max(sequence + 1, oldestSequence);
    const events: Event[] = [];
    for (let current = first; current < this.nextSequence; current += 1) {
      const event = this.slots[current % this.capacity];
      if (event !== undefined) {
        events.push(event);
      }
    }
    return {
      process: this.process,
      events,
      dropped: Math.max(0, oldestSequence - 1 - sequence),
    };
  }
}
