import type { EndReason } from '@basilcourse/jobs/model/end-reason';
import type { RunEnd } from '@basilcourse/jobs/model/run-end';

/** Ended runs of one life of a fake minion that are not acknowledged yet. */
export class FakeEnds {
  private ends: readonly RunEnd[] = [];

  private readonly lapsed = new Set<number>();

  private nextNumber = 1;

  /** The ends that are listed. */
  public get listed(): readonly RunEnd[] {
    return this.ends;
  }

  /** Lists the end of a run. */
  public add(task: string, run: number, reason: EndReason): void {
    const number = this.nextNumber;
    this.ends = [...this.ends, { number, task, run, reason, checkpoint: '' }];
    this.nextNumber += 1;
  }

  /** Marks the present ends as not final, since the lease has expired. */
  public markLapsed(): void {
    this.ends.forEach(({ number }) => this.lapsed.add(number));
  }

  /** Whether the lease has not expired since a run ended. */
  public isFinal({ number }: RunEnd): boolean {
    return !this.lapsed.has(number);
  }

  /** Removes ends up to the given number, and returns them. */
  public acknowledge(through: number): readonly RunEnd[] {
    const stored = this.ends.filter(({ number }) => number <= through);
    this.ends = this.ends.filter(({ number }) => number > through);
    return stored;
  }
}
