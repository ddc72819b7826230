import type { EventRecorder } from '@basilcourse/foundation/events/event-recorder';

/** Tracks whether one process can reach the platform's log. */
export class StoreHealth {
  private failing = false;

  private answeredAt = 0;

  public constructor(private readonly events: EventRecorder) {}

  public get reachable(): boolean {
    return !this.failing;
  }

  /** Time of the most recent answer, in milliseconds since the epoch. */
  public get lastAnswerAt(): number {
    return this.answeredAt;
  }

  public recordAnswer(now: number): void {
    this.answeredAt = now;
    if (this.failing) {
      this.failing = false;
      this.events.record('store-reachable', 'The log answers again.');
    }
  }

  public recordFailure(reason: string): void {
    if (!this.failing) {
      this.failing = true;
      const text = `The log does not answer: ${reason}`;
      this.events.record('store-unreachable', text);
    }
  }
}
