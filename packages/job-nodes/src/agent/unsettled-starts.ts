import type { MinionLimits } from '@basilcourse/jobs/model/minion-limits';
import type { StopOrder } from '@basilcourse/jobs/model/stop-order';

import { longestHold } from './longest-hold.js';
import type { PolledLists } from './polled-lists.js';
import type { UnsettledStart } from './unsettled-start.js';

interface TrackedStart extends UnsettledStart {
  /** Incarnation that refuses the start, as it has seen a later token. */
  readonly refusedBy: string | undefined;
}

/**
 * Starts of which it is not known that the incarnation they were meant for has
 * carried them out. A call names the minion by an identifier that its next
 * incarnation may share, and may be carried out late, so such a start may run on
 * an incarnation that the agent has not met. All times are monotonic milliseconds.
 */
export class UnsettledStarts {
  private readonly starts = new Map<string, TrackedStart>();

  private readonly limits: MinionLimits;

  /** When a call with a lease was last sent that got no answer. */
  private unansweredAt = Number.NEGATIVE_INFINITY;

  public constructor(limits: MinionLimits) {
    this.limits = limits;
  }

  /** Whether there is none. */
  public get isEmpty(): boolean {
    return this.starts.size === 0;
  }

  /** Whether a call under the present token may still be carried out, by any life. */
  public hasPendingCalls(now: number): boolean {
    const { longestCallDelayMilliseconds } = this.limits;
    const isLate = now - this.unansweredAt <= longestCallDelayMilliseconds;
    return isLate || !this.isEmpty;
  }

  /** Records a start that is about to be sent. */
  public add(start: UnsettledStart): void {
    this.starts.set(keyOf(start.order), { ...start, refusedBy: undefined });
  }

  /** Records that a start was not carried out, or by the intended incarnation. */
  public settle(order: StopOrder): void {
    this.starts.delete(keyOf(order));
  }

  /** Records that a call got no answer; it may prolong the lease of any incarnation. */
  public recordUnanswered(sentAt: number): void {
    this.unansweredAt = Math.max(this.unansweredAt, sentAt);
  }

  /**
   * Settles starts that a poll lists, and those that can't be carried out any more.
   * An incarnation refuses starts with a lower token than that of the poll.
   */
  public applyLists(polled: PolledLists): void {
    const { longestCallDelayMilliseconds } = this.limits;
    for (const [key, start] of this.starts) {
      const isTooLate =
        start.sentAt + longestCallDelayMilliseconds < polled.requestedAt;
      if (polled.listed.has(key) || (isTooLate && polled.complete)) {
        this.starts.delete(key);
      } else if (start.fencingToken < polled.fencingToken && polled.complete) {
        const refusedBy = polled.incarnation;
        this.starts.set(key, { ...start, refusedBy });
      }
    }
  }

  /**
   * Removes starts whose runs have ended by now, wherever they began, and returns
   * whether there were any.
   */
  public expire(now: number): boolean {
    const before = this.starts.size;
    const longest =
      this.limits.longestCallDelayMilliseconds + longestHold(this.limits);
    for (const [key, { sentAt }] of this.starts) {
      if (now - Math.max(sentAt, this.unansweredAt) > longest) {
        this.starts.delete(key);
      }
    }
    return this.starts.size < before;
  }

  /**
   * Returns the tasks with a start that another incarnation than the present one
   * may have carried out, or may carry out.
   */
  public tasks(present: string | undefined): readonly string[] {
    const tasks = [...this.starts.values()]
      .filter(
        ({ incarnation, refusedBy }) =>
          present === undefined ||
          (incarnation !== present && refusedBy !== present),
      )
      .map(({ order }) => order.task);
    return [...new Set(tasks)];
  }
}

function keyOf({ task, run }: StopOrder): string {
  return `${task}/${run}`;
}
