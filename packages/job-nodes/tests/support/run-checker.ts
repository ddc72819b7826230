import type { StepSpecification } from '@basilcourse/jobs/model/step-specification';

import type { ObservedRun } from './observed-run.js';

/**
 * Records every start and end on all fake minions, and checks that no task runs
 * twice, out of order or beyond the capacity of its minion.
 */
export class RunChecker {
  public readonly violations: string[] = [];

  public readonly done = new Map<string, number>();

  public starts = 0;

  /** Tasks whose completion was acknowledged to their minion as stored. */
  public readonly acknowledgedTasks = new Set<string>();

  /** Recorded events of each task, in order. */
  private readonly histories = new Map<string, string[]>();

  private readonly running = new Map<string, ObservedRun>();

  private readonly steps: (task: string) => StepSpecification;

  private readonly capacity: number;

  public constructor(
    steps: (task: string) => StepSpecification,
    capacity: number,
  ) {
    this.steps = steps;
    this.capacity = capacity;
  }

  /** Records that a run has started, and checks the invariants. */
  public recordStart(run: ObservedRun): void {
    this.starts += 1;
    this.record(run, 'starts');
    if (this.acknowledgedTasks.has(run.task)) {
      const history = this.histories.get(run.task)?.join('; ') ?? '';
      this.violations.push(
        `${run.task} starts after its end was stored: ${history}`,
      );
    }
    for (const other of this.running.values()) {
      if (other.task === run.task) {
        const history = this.histories.get(run.task)?.join('; ') ?? '';
        this.violations.push(
          `${run.task} runs on ${other.minion} and ${run.minion}: ${history}`,
        );
      }
    }
    this.running.set(`${run.minion} ${run.task} ${run.run}`, run);
    this.checkOrder(run.task);
    this.checkCapacity(run.minion);
  }

  /** Records that a run has ended. */
  public recordEnd(run: ObservedRun, done: boolean): void {
    this.running.delete(`${run.minion} ${run.task} ${run.run}`);
    this.record(run, done ? 'is done' : 'ends');
    if (done) {
      this.done.set(run.task, (this.done.get(run.task) ?? 0) + 1);
    }
  }

  /** Records an event of a run, which is shown if an invariant is violated. */
  public record(run: ObservedRun, event: string): void {
    const history = this.histories.get(run.task) ?? [];
    const at = Math.round(performance.now());
    history.push(`${at} ${run.minion} run ${run.run} ${event}`);
    this.histories.set(run.task, history);
  }

  private checkOrder(task: string): void {
    const [job = '', occurrence = '', step = ''] = task.split('.');
    for (const earlier of this.steps(task).after) {
      const count = this.steps(`${job}.${occurrence}.${earlier}.0`).taskCount;
      for (let index = 0; index < count; index += 1) {
        const name = `${job}.${occurrence}.${earlier}.${index}`;
        if (!this.done.has(name)) {
          this.violations.push(`${task} starts before ${name} (step ${step})`);
        }
      }
    }
  }

  private checkCapacity(minion: string): void {
    let used = 0;
    for (const run of this.running.values()) {
      if (run.minion === minion) {
        used += this.steps(run.task).processorMillicores;
      }
    }
    if (used > this.capacity) {
      this.violations.push(
        `${minion} uses ${used} of ${this.capacity} millicores`,
      );
    }
  }
}
