import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import type { RunEnd } from '@basilcourse/jobs/model/run-end';
import type { RunningTask } from '@basilcourse/jobs/model/running-task';

import type { PollResult } from './poll-result.js';

/** Maximum time to wait until ends are stored. */
const ENDS_STORED_TIMEOUT_MILLISECONDS = 200;

/** Running tasks and ended runs of the last poll, without stored ends. */
export class PolledRuns {
  public running: readonly RunningTask[] = [];

  public ends: readonly RunEnd[] = [];

  /** Whether the minion has ended runs that the last poll did not list. */
  public hasMoreEnds = false;

  /** The leader has stored ends up to this number. */
  private endsThrough = 0;

  /** Lowest number of an end in the last lists; infinite if there was none. */
  private lowestListed = Number.POSITIVE_INFINITY;

  /** Fencing token of the last poll; 0 before the first one. */
  public fencingToken = 0;

  private onEndsStored: () => void = () => undefined;

  /**
   * Ends up to this number can be dropped; 0 if the last lists had none of them.
   * The next incarnation may take a poll, and has other ends under these numbers.
   */
  public get acknowledgedThrough(): number {
    return this.lowestListed <= this.endsThrough ? this.endsThrough : 0;
  }

  /** Whether the present incarnation has not been polled. */
  public get isEmpty(): boolean {
    return this.fencingToken === 0;
  }

  /** Applies the result of a poll. */
  public apply(
    { running, ends, hasMoreEnds }: PollResult,
    fencingToken: number,
  ): void {
    this.running = running;
    this.lowestListed = Math.min(...ends.map(({ number }) => number));
    this.ends = ends.filter(({ number }) => number > this.endsThrough);
    this.hasMoreEnds = hasMoreEnds;
    this.fencingToken = fencingToken;
  }

  /** Returns the lists for a report. */
  public lists(): Pick<AgentReport, 'running' | 'ends' | 'hasMoreEnds'> {
    const { running, ends, hasMoreEnds } = this;
    return { running, ends, ...(hasMoreEnds ? { hasMoreEnds } : {}) };
  }

  /** Removes ends that the leader has stored. */
  public removeStoredEnds(endsThrough: number): void {
    this.endsThrough = Math.max(this.endsThrough, endsThrough);
    this.ends = this.ends.filter(({ number }) => number > this.endsThrough);
    if (this.ends.length === 0) {
      this.onEndsStored();
    }
  }

  /** Waits until the ends are stored, or until the timeout. */
  public async waitUntilEndsStored(): Promise<void> {
    if (this.ends.length === 0) {
      return;
    }
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, ENDS_STORED_TIMEOUT_MILLISECONDS);
      this.onEndsStored = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  /** Clears the runs of an earlier incarnation. */
  public reset(): void {
    this.running = [];
    this.ends = [];
    this.hasMoreEnds = false;
    this.endsThrough = 0;
    this.lowestListed = Number.POSITIVE_INFINITY;
    this.fencingToken = 0;
  }
}
