import type { Announcement } from './announcement.js';
import type { LocalUpstream } from './local-upstream.js';
import { SlotGate } from './slot-gate.js';

/** Silence after which an upstream gets no new work. */
const ANNOUNCEMENT_TIMEOUT_MILLISECONDS = 3000;

/** The upstreams of one VM. */
export class UpstreamRegistry {
  private readonly upstreams = new Map<string, LocalUpstream>();

  private readonly endedAttempts = new Set<string>();

  private closeReason = '';

  public get all(): readonly LocalUpstream[] {
    return [...this.upstreams.values()];
  }

  /** Takes in an announcement; true when something changed for callers. */
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

  /** Tells whether an attempt has ended here for good. */
  public hasEnded(attempt: string): boolean {
    return this.endedAttempts.has(attempt);
  }

  public remove(attempt: string): void {
    this.upstreams.get(attempt)?.gate.close('the upstream has left');
    this.upstreams.delete(attempt);
    this.endedAttempts.add(attempt);
  }

  /** Drops upstreams that have been silent; true when one was dropped. */
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

  /** Requests that run on the VM now. */
  public get running(): number {
    return this.all.reduce((sum, { gate }) => sum + gate.running, 0);
  }
}
