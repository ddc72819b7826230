import { FairQueue } from './fair-queue.js';
import { ServiceTime } from './service-time.js';
import type { SlotRequest } from './slot-request.js';
import type { WaitingRequest } from './waiting-request.js';

/** Requests that may wait for one slot, as a bound on the queue's memory. */
const MAXIMUM_WAITING_PER_SLOT = 64;

/**
 * Owner of the slots of one upstream.
 *
 * All requests to the upstream pass its gate, so the slots hold for the sum of
 * all entries.
 */
export class SlotGate {
  public readonly serviceTime = new ServiceTime();

  private readonly queue = new FairQueue();

  private runningCount = 0;

  private closeReason = '';

  public constructor(public readonly slots: number) {}

  public get running(): number {
    return this.runningCount;
  }

  public get queued(): number {
    return this.queue.length;
  }

  /** Asks for a slot; answers by one of the request's callbacks. */
  public requestSlot(request: SlotRequest, now: number): void {
    const reason = this.refusalReason(request, now);
    if (reason !== '') {
      request.refuse(reason);
      return;
    }
    if (this.runningCount < this.slots && this.queue.length === 0) {
      this.runningCount += 1;
      request.grant();
      return;
    }
    const tag = this.queue.tagFor(request.team, request.teamWeight);
    this.queue.push({ ...request, tag });
  }

  /** Gives a slot back and passes it on. */
  public releaseSlot(now: number): void {
    this.runningCount -= 1;
    this.grantFreeSlots(now);
  }

  /** Takes a waiting request out; false when it does not wait. */
  public cancel(requestId: string): boolean {
    return this.queue.remove(requestId);
  }

  /** Refuses all that waits and all that comes. */
  public close(reason: string): void {
    this.closeReason = reason;
    for (const waiting of this.queue.removeAll()) {
      waiting.refuse(reason);
    }
  }

  private refusalReason(request: SlotRequest, now: number): string {
    if (this.closeReason !== '') {
      return this.closeReason;
    }
    if (this.queue.length >= this.slots * MAXIMUM_WAITING_PER_SLOT) {
      return 'the queue is full';
    }
    return this.wouldMissDeadline(request, this.queue.length, now)
      ? 'cannot finish before the deadline'
      : '';
  }

  private wouldMissDeadline(
    request: Pick<WaitingRequest, 'deadline'>,
    requestsAhead: number,
    now: number,
  ): boolean {
    const serviceMilliseconds = this.serviceTime.decayedMilliseconds(now);
    const allSlotsTaken = this.runningCount >= this.slots;
    const waitMilliseconds = allSlotsTaken
      ? ((requestsAhead + 1) * serviceMilliseconds) / this.slots
      : 0;
    return now + waitMilliseconds + serviceMilliseconds > request.deadline;
  }

  private grantFreeSlots(now: number): void {
    while (this.runningCount < this.slots) {
      const next = this.queue.shift();
      if (next === undefined) {
        return;
      }
      if (this.wouldMissDeadline(next, -1, now)) {
        next.refuse('cannot finish before the deadline');
        continue;
      }
      this.runningCount += 1;
      next.grant();
    }
  }
}
