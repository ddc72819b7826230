import { FairQueue } from './fair-queue.js';
import { ServiceTime } from './service-time.js';
import type { SlotRequest } from './slot-request.js';
import type { WaitingRequest } from './waiting-request.js';

/** Maximum number of waiting requests per slot; bounds the queue's memory. */
const MAXIMUM_WAITING_PER_SLOT = 64;

/**
 * Limits the requests that run at one upstream to its number of slots.
 *
 * The requests of all entries pass the same gate on the upstream's VM, so the
 * limit holds for their sum. Requests without a slot wait in a fair queue.
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

  /**
   * Requests a slot. Calls `grant` or `refuse` of the request at once, or later
   * if the request has to wait and is not cancelled.
   */
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

  /** Returns a slot and grants it to the next waiting request. */
  public releaseSlot(now: number): void {
    this.runningCount -= 1;
    this.grantFreeSlots(now);
  }

  /** Removes a waiting request; false if it is not waiting. */
  public cancel(requestId: string): boolean {
    return this.queue.remove(requestId);
  }

  /** Refuses all waiting and all future requests. */
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
