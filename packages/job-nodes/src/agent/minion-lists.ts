import type { RunEnd } from '@basilcourse/jobs/model/run-end';
import type { RunningTask } from '@basilcourse/jobs/model/running-task';

/** Maximum wait until ends are stored. */
const SETTLE_TIMEOUT_MILLISECONDS = 200;

/** Lists that the minion last returned, without ends the leader has stored. */
export class MinionLists {
  public running: readonly RunningTask[] = [];

  public ends: readonly RunEnd[] = [];

  /** Ends up to this number are stored. */
  public endsThrough = 0;

  /** Fencing token with which the lists were read; 0 before the first read. */
  public fencingToken = 0;

  private onSettled: () => void = () => undefined;

  /** Applies newly read lists. */
  public apply(
    running: readonly RunningTask[],
    ends: readonly RunEnd[],
    fencingToken: number,
  ): void {
    this.running = running;
    this.ends = ends.filter(({ number }) => number > this.endsThrough);
    this.fencingToken = fencingToken;
  }

  /** Task and run of everything that runs, or has ended and isn't stored yet. */
  public listedRuns(): ReadonlySet<string> {
    return new Set(
      [...this.running, ...this.ends].map(({ task, run }) => `${task}/${run}`),
    );
  }

  /** Removes ends that are stored. */
  public settle(endsThrough: number): void {
    this.endsThrough = Math.max(this.endsThrough, endsThrough);
    this.ends = this.ends.filter(({ number }) => number > this.endsThrough);
    if (this.ends.length === 0) {
      this.onSettled();
    }
  }

  /** Waits until the ends are stored, or until the timeout. */
  public async waitUntilSettled(): Promise<void> {
    if (this.ends.length === 0) {
      return;
    }
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, SETTLE_TIMEOUT_MILLISECONDS);
      this.onSettled = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  /** Clears the lists of an earlier incarnation. */
  public reset(): void {
    this.running = [];
    this.ends = [];
    this.endsThrough = 0;
    this.fencingToken = 0;
  }
}
