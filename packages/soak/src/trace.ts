import { appendFileSync } from 'node:fs';

import type { SoakEvent } from './soak-event.js';

/** An event with its time. */
interface TracedEvent {
  /** Milliseconds since the soak began. */
  readonly at: number;
  readonly event: SoakEvent;
}

/** Events of a soak, kept and written as JSON lines. */
export class Trace {
  private readonly traced: TracedEvent[] = [];

  private readonly file: string;

  private readonly startedAt = performance.now();

  private unwritten = '';

  public constructor(file: string) {
    this.file = file;
  }

  /** All events so far, in order. */
  public get events(): readonly TracedEvent[] {
    return this.traced;
  }

  /** Adds an event that happens now. */
  public add(event: SoakEvent): void {
    const traced = {
      at: Math.round(performance.now() - this.startedAt),
      event,
    };
    this.traced.push(traced);
    this.unwritten += `${JSON.stringify(traced)}\n`;
  }

  /** Writes what was added since the last call. */
  public flush(): void {
    appendFileSync(this.file, this.unwritten);
    this.unwritten = '';
  }
}
