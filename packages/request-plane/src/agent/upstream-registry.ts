import type { Announcement } from './announcement.js';
import type { LocalUpstream } from './local-upstream.js';
import { SlotGate } from './slot-gate.js';

/** Time without an announcement after which an upstream is removed. */
const ANNOUNCEMENT_TIMEOUT_MILLISECONDS = 3000;

/** The upstreams on one VM, as they announced themselves to its agent. */
export class UpstreamRegistry {
  private readonly upstreams = new Map<string, LocalUpstream>();

  private readonly endedAttempts = new Set<string>();

  private closeReason = '';

  public get all(): readonly LocalUpstream[] {
    return [...this.upstreams.values()];
  }

  /** Applies an announcement; true if it is the first or changes `leaving`. */
  public applyAnnouncement(announcement: Announcement, now: number): boolean {
    const { attempt, leaving } = announcement;
    if (this.endedAttempts.has(attempt)) {
      return false;
    }
    const current = this.upstreams.get(attempt);
    const gate = current?.gate ?? new SlotGate(announcement.slots);
    if (leaving) {
      gate.close('the upstream is leaving');
    } else if (this.closeReason !== '') {
      gate.close(this.closeReason);
    }
    this.upstreams.set(attempt, { ...announcement, announcedAt: now, gate });
    return current?.leaving !== leaving;
  }

  /** Finds the upstream that serves an attempt. */
  public find(attempt: string): LocalUpstream | undefined {
    return this.upstreams.get(attempt);
  }

  /** Returns whether an attempt has ended on this VM and cannot return. */
  public hasEnded(attempt: string): boolean {
    return this.endedAttempts.has(attempt);
  }

  /** Removes the upstream of an attempt that has ended. */
  public remove(attempt: string): void {
    this.upstreams.get(attempt)?.gate.close('the upstream has left');
    this.upstreams.delete(attempt);
    this.endedAttempts.add(attempt);
  }

  /** Removes upstreams without recent announcements; true if there were any. */
  public sweep(now: number): boolean {
    const expired = this.all.filter(
      ({ announcedAt }) =>
        now - announcedAt > ANNOUNCEMENT_TIMEOUT_MILLISECONDS,
    );
    for (const { attempt, gate } of expired) {
      gate.close('the upstream is silent');
      this.upstreams.delete(attempt);
    }
    return expired.length > 0;
  }

  /** Refuses all new work on the VM. */
  public close(reason: string): void {
    this.closeReason = reason;
    for (const { gate } of this.upstreams.values()) {
      gate.close(reason);
    }
  }

  /** Number of requests that are running on the VM. */
  public get running(): number {
    return this.all.reduce((sum, { gate }) => sum + gate.running, 0);
  }
}
