import type { WorkerStandIn } from '@basilcourse/platform-stand-in/worker/worker-stand-in';

/** Slowdown and progress of the tasks of a run, sampled once a second. */
export class RunSamples {
  public readonly slowdowns: number[] = [];

  private readonly doneSecondsByAttempt = new Map<string, number>();

  private readonly startSecondsByAttempt = new Map<string, number>();

  public sample(worker: WorkerStandIn, isWarmedUp: boolean): void {
    for (const { command, doneSeconds } of worker.runner.tasks) {
      if (command.role === 'service' && isWarmedUp) {
        const slowdown = worker.runner.slowdownOf(command.attempt);
        this.slowdowns.push(1 + slowdown);
      } else if (command.role === 'job') {
        const resumed = Number(command.checkpoint.split('@').at(-1) ?? 0);
        const startSeconds = Number.isNaN(resumed) ? 0 : resumed;
        this.startSecondsByAttempt.set(command.attempt, startSeconds);
        this.doneSecondsByAttempt.set(command.attempt, doneSeconds);
      }
    }
  }

  public get batchSeconds(): number {
    let sum = 0;
    for (const [attempt, done] of this.doneSecondsByAttempt) {
      sum += done - (this.startSecondsByAttempt.get(attempt) ?? 0);
    }
    return sum;
  }

  /** Seconds of work that the next attempt of a task had to repeat. */
  public lostSeconds(): number {
    let lost = 0;
    for (const [attempt, done] of this.doneSecondsByAttempt) {
      const [task = '', number = '1'] = attempt.split('#');
      const next = `${task}#${Number(number) + 1}`;
      const resumed = this.startSecondsByAttempt.get(next);
      lost += resumed === undefined ? 0 : Math.max(0, done - resumed);
    }
    return lost;
  }
}
