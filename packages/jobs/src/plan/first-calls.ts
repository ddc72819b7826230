import type { PassedOver } from './passed-over.js';
import type { PlannedStart } from './planned-start.js';
import type { Reservation } from './reservation.js';

/** Other starts of a service between two that waiting time alone decides. */
const STARTS_BETWEEN = 7;

/**
 * Decides when the task of a service that was passed over for longest gets the
 * first call on room, ahead of more urgent ones: for one start in eight at most, so
 * that under overload urgency decides about the others.
 */
export class FirstCalls {
  /** Starts since the last first call, by service. */
  private readonly starts = new Map<string, number>();

  /** Room that is reserved, by service. */
  private readonly reservations = new Map<string, Reservation>();

  /** Whether the next first call on a service's room is due. */
  public isDue(service: string): boolean {
    return (this.starts.get(service) ?? STARTS_BETWEEN) >= STARTS_BETWEEN;
  }

  /** Counts the starts of a round. */
  public count(starts: readonly PlannedStart[]): void {
    for (const { minion } of starts) {
      const service = minion.description?.service ?? '';
      const before = this.starts.get(service) ?? STARTS_BETWEEN;
      this.starts.set(service, Math.min(STARTS_BETWEEN, before + 1));
    }
  }

  /** Returns the room that is reserved for what was passed over. */
  public reservationFor({
    job,
    tasks: [task],
  }: PassedOver): Reservation | undefined {
    const reservation = this.reservations.get(job.queue.service);
    return reservation?.task === task?.name ? reservation : undefined;
  }

  /** Records that a service's room is reserved, instead of any other. */
  public reserve(service: string, reservation: Reservation): void {
    this.reservations.set(service, reservation);
  }

  /** Records that a first call on a service's room has led to a start. */
  public use(service: string): void {
    this.starts.set(service, 0);
    this.reservations.delete(service);
  }
}
