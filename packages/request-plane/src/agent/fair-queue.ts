import type { WaitingRequest } from './waiting-request.js';

/**
 * Queue of the requests of several teams, ordered by start-time fair queueing.
 *
 * Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
 */
export class FairQueue {
  private entries: WaitingRequest[] = [];

  private virtualTime = 0;

  private readonly finishTags = new Map<string, number>();

  public get length(): number {
    return this.entries.length;
  }

  /** Returns the start tag of the next request of a team. */
  public tagFor(team: string, weight: number): number {
    const tag = Math.max(this.virtualTime, this.finishTags.get(team) ?? 0);
    this.finishTags.set(team, tag + 1 / weight);
    return tag;
  }

  public push(entry: WaitingRequest): void {
    const index = this.entries.findIndex(other => other.tag > entry.tag);
    this.entries.splice(index < 0 ? this.entries.length : index, 0, entry);
  }

  public shift(): WaitingRequest | undefined {
    const next = this.entries.shift();
    if (next !== undefined) {
      this.virtualTime = next.tag;
    }
    if (this.entries.length === 0) {
      this.finishTags.clear();
      this.virtualTime = 0;
    }
    return next;
  }

  /** Removes a request from any position; false if it is not in the queue. */
  public remove(requestId: string): boolean {
    const before = this.entries.length;
    this.entries = this.entries.filter(entry => entry.requestId !== requestId);
    return this.entries.length < before;
  }

  public removeAll(): readonly WaitingRequest[] {
    return this.entries.splice(0);
  }
}
