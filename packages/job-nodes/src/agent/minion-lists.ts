import type { RunEnd } from '@basilcourse/jobs/model/run-end';
import type { RunningTask } from '@basilcourse/jobs/model/running-task';

/** Longest wait for ends to be stored. */
const SETTLE_MILLISECONDS = 200;

/** What the minion last listed, less what the leader has stored. */
export class MinionLists {
  public running: readonly RunningTask[] = [];

  public ends: readonly RunEnd[] = [];

  /** Ends up to this number are stored. */
  public endsThrough = 0;

  /** Fencing token under which the lists were read; 0 if they were not. */
  public fencingToken = 0;

  private onSettled: () => void = () => undefined;

  /** Takes in newly read lists. */
  public take(
    running: readonly RunningTask[],
    ends: readonly RunEnd[],
    fencingToken: number,
  ): void {
    this.running = running;
    this.ends = ends.filter(({ number }) => number > this.endsThrough);
    this.fencingToken = fencingToken;
  }

  /** Task and run of everything that runs, or has ended and is not stored. */
  public listedRuns(): ReadonlySet<string> {
    return new Set(
      [...this.running, ...this.ends].map(({ task, run }) => `${task}/${run}`),
    );
  }

  /** Forgets ends that are stored. */
  public settle(endsThrough: number): void {
    this.endsThrough = Math.max(this.endsThrough, endsThrough);
    this.ends = this.ends.filter(({ number }) => number > this.endsThrough);
    if (this.ends.length === 0) {
      this.onSettled();
    }
  }

  /** Waits, for a while, until the ends are stored. */
  public async settled(): Promise<void> {
    if (this.ends.length === 0) {
      return;
    }
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, SETTLE_MILLISECONDS);
      this.onSettled = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  /** Forgets the lists of an earlier life. */
  public reset(): void {
    this.running = [];
    this.ends = [];
    this.endsThrough = 0;
    this.fencingToken = 0;
  }
}
