import type { Resources } from '@basilcourse/shared-state/records/resources';
import { fits } from '@basilcourse/shared-state/resources/fits';

import type { Violation } from './violation.js';

/** Maximum number of violations stored; further ones are only counted. */
const MAXIMUM_VIOLATIONS = 100;

/**
 * Records which attempt ran on which worker, independently of the system under
 * test. Detects tasks that run twice at the same time, workers whose assigned
 * resources exceed their size, and jobs that finish more than once.
 */
export class ExecutionRecorder {
  public readonly violations: Violation[] = [];

  private readonly placesByTask = new Map<string, Set<string>>();

  private readonly startTimes = new Map<string, number>();

  private readonly finishedTasks = new Map<string, number>();

  private recordedStarts = 0;

  private recordedViolations = 0;

  public get startCount(): number {
    return this.recordedStarts;
  }

  public get finished(): number {
    return this.finishedTasks.size;
  }

  public get violationCount(): number {
    return this.recordedViolations;
  }

  /** Number of times that a job finished after its first finish. */
  public get duplicateFinishes(): number {
    const counts = [...this.finishedTasks.values()];
    return counts.reduce((sum, count) => sum + count - 1, 0);
  }

  public hasFinished(task: string): boolean {
    return this.finishedTasks.has(task);
  }

  /** Returns the start time of an attempt; undefined if it never started. */
  public startedAt(attempt: string): number | undefined {
    return this.startTimes.get(attempt);
  }

  /**
   * Records that an attempt has started.
   *
   * @param place - Worker and identifier of the attempt, separated by a space.
   */
  public recordStart(task: string, place: string, now: number): void {
    this.recordedStarts += 1;
    this.startTimes.set(place.split(' ')[1] ?? '', now);
    const places = this.placesByTask.get(task) ?? new Set<string>();
    places.add(place);
    this.placesByTask.set(task, places);
    if (places.size > 1) {
      this.addViolation(
        'doubled',
        `${task} runs as ${[...places].join(' and as ')}`,
        now,
      );
    }
  }

  public recordEnd(task: string, place: string): void {
    this.placesByTask.get(task)?.delete(place);
  }

  public recordFinish(task: string): void {
    this.finishedTasks.set(task, (this.finishedTasks.get(task) ?? 0) + 1);
  }

  public checkCapacity(
    worker: string,
    assigned: Resources,
    size: Resources,
    now: number,
  ): void {
    if (!fits(assigned, size)) {
      const text = `the tasks on ${worker} exceed its size: ${JSON.stringify(assigned)}`;
      this.addViolation('overcommitted', text, now);
    }
  }

  private addViolation(
    kind: Violation['kind'],
    text: string,
    at: number,
  ): void {
    this.recordedViolations += 1;
    if (this.violations.length < MAXIMUM_VIOLATIONS) {
      this.violations.push({ kind, text, at });
    }
  }
}
