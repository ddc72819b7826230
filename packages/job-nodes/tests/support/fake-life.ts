import { FakeEnds } from './fake-ends.js';
import { FakeFence } from './fake-fence.js';
import { FakeLease } from './fake-lease.js';
import type { FakeRun } from './fake-run.js';
import { MINION_LIMITS } from './minion-limits.js';

/** What one life of a fake minion holds and knows; nothing of it outlives it. */
export class FakeLife {
  public readonly fence = new FakeFence();

  public readonly lease: FakeLease;

  public readonly ends = new FakeEnds();

  public readonly runs = new Map<string, FakeRun>();

  /** Highest run that has begun or was stopped, by task. */
  public readonly highestRuns = new Map<string, number>();

  /**
   * @param ageMilliseconds - Present time of its clock.
   */
  public constructor(ageMilliseconds: number) {
    this.lease = new FakeLease(
      MINION_LIMITS.longestLeaseMilliseconds,
      ageMilliseconds,
    );
  }

  /** Records that a run has begun or was stopped, so that lower ones are old. */
  public raiseHighestRun(task: string, run: number): void {
    this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
  }
}
