import type { HybridTimestamp } from './hybrid-timestamp.js';

/**
 * Timestamps further ahead of the local clock are ignored, so that a peer with
 * a wrong clock cannot move this clock far ahead.
 */
const MAXIMUM_FORWARD_SKEW_MILLISECONDS = 60_000;

/**
 * A hybrid logical clock: its timestamps respect causality and stay close to
 * wall time.
 */
export class HybridClock {
  private last: HybridTimestamp = { wall: 0, logical: 0 };

  /** Returns the timestamp of a local event. */
  public stamp(now: number): HybridTimestamp {
    this.last =
      now > this.last.wall
        ? { wall: now, logical: 0 }
        : { wall: this.last.wall, logical: this.last.logical + 1 };
    return this.last;
  }

  /**
   * Advances past a timestamp received from a peer, unless it is too far ahead.
   */
  public observe(received: HybridTimestamp, now: number): void {
    if (received.wall > now + MAXIMUM_FORWARD_SKEW_MILLISECONDS) {
      return;
    }
    const wall = Math.max(this.last.wall, received.wall);
    const logical = Math.max(
      this.last.wall === wall ? this.last.logical : 0,
      received.wall === wall ? received.logical : 0,
    );
    this.last = { wall, logical };
  }
}
