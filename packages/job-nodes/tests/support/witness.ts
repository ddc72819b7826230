import type { StepSpecification } from '@basilcourse/jobs/model/step-specification';

import type { WitnessedRun } from './witnessed-run.js';

/** Sees every start and end on all fake minions, and notes what is wrong. */
export class Witness {
  public readonly wrongs: string[] = [];

  public readonly done = new Map<string, number>();

  public starts = 0;

  /** Ends that were taken note of, by task. */
  public readonly notedDone = new Set<string>();

  /** What was noted of each task, in order. */
  private readonly stories = new Map<string, string[]>();

  private readonly running = new Map<string, WitnessedRun>();

  private readonly steps: (task: string) => StepSpecification;

  private readonly capacity: number;

  public constructor(
    steps: (task: string) => StepSpecification,
    capacity: number,
  ) {
    this.steps = steps;
    this.capacity = capacity;
  }

  /** A run has begun. */
  public started(run: WitnessedRun): void {
    this.starts += 1;
    this.note(run, 'starts');
    if (this.notedDone.has(run.task)) {
      const story = this.stories.get(run.task)?.join('; ') ?? '';
      this.wrongs.push(`${run.task} starts after its end was noted: ${story}`);
    }
    for (const other of this.running.values()) {
      if (other.task === run.task) {
        const story = this.stories.get(run.task)?.join('; ') ?? '';
        this.wrongs.push(
          `${run.task} runs on ${other.minion} and ${run.minion}: ${story}`,
        );
      }
    }
    this.running.set(`${run.minion} ${run.task} ${run.run}`, run);
    this.checkOrder(run.task);
    this.checkRoom(run.minion);
  }

  /** A run has ended. */
  public ended(run: WitnessedRun, done: boolean): void {
    this.running.delete(`${run.minion} ${run.task} ${run.run}`);
    this.note(run, done ? 'is done' : 'ends');
    if (done) {
      this.done.set(run.task, (this.done.get(run.task) ?? 0) + 1);
    }
  }

  /** Notes anything about a run, to be told if something is wrong. */
  public note(run: WitnessedRun, what: string): void {
    const story = this.stories.get(run.task) ?? [];
    const at = Math.round(performance.now());
    story.push(`${at} ${run.minion} run ${run.run} ${what}`);
    this.stories.set(run.task, story);
  }

  private checkOrder(task: string): void {
    const [job = '', occurrence = '', step = ''] = task.split('.');
    for (const earlier of this.steps(task).after) {
      const count = this.steps(`${job}.${occurrence}.${earlier}.0`).taskCount;
      for (let index = 0; index < count; index += 1) {
        const name = `${job}.${occurrence}.${earlier}.${index}`;
        if (!this.done.has(name)) {
          this.wrongs.push(`${task} starts before ${name} (step ${step})`);
        }
      }
    }
  }

  private checkRoom(minion: string): void {
    let used = 0;
    for (const run of this.running.values()) {
      if (run.minion === minion) {
        used += this.steps(run.task).processorMillicores;
      }
    }
    if (used > this.capacity) {
      this.wrongs.push(`${minion} holds ${used} of ${this.capacity}`);
    }
  }
}
