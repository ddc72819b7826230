import type { WaitingRequest } from './waiting-request.js';

/**
 * Queue of the requests of several teams, ordered by start-time fair queueing.
 *
 * Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
 */
export class FairQueue {
  private requests: WaitingRequest[] = [];

  private virtualTime = 0;

  private readonly finishTags = new Map<string, number>();

  public get length(): number {
    return this.requests.length;
  }

  /** Returns the start tag of the next request of a team. */
  public tagFor(team: string, weight: number): number {
    const tag = Math.max(this.virtualTime, this.finishTags.get(team) ?? 0);
    this.finishTags.set(team, tag + 1 / weight);
    return tag;
  }

  public push(request: WaitingRequest): void {
    const index = this.requests.findIndex(other => other.tag > request.tag);
    this.requests.splice(index < 0 ? this.requests.length : index, 0, request);
  }

  public shift(): WaitingRequest | undefined {
    const next = this.requests.shift();
    if (next !== undefined) {
      this.virtualTime = next.tag;
    }
    if (this.requests.length === 0) {
      this.finishTags.clear();
      this.virtualTime = 0;
    }
    return next;
  }

  /** Removes a request from any position; false if it is not in the queue. */
  public remove(requestId: string): boolean {
    const before = this.requests.length;
    this.requests = this.requests.filter(
      request => request.requestId !== requestId,
    );
    return this.requests.length < before;
  }

  public removeAll(): readonly WaitingRequest[] {
    return this.requests.splice(0);
  }
}
