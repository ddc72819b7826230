import { memo } from '@basilcourse/foundation/util/memo';

import type { JobSpecification } from '../model/job-specification.js';
import type { QueueSettings } from '../model/queue-settings.js';
import { JobEntry } from './job-entry.js';
import { MinionEntry } from './minion-entry.js';
import type { MinionRun } from './minion-run.js';
import { splitTaskName } from './split-task-name.js';
import type { TaskEntry } from './task-entry.js';

/** Jobs and minions of the leader, and the jobs with progress to store. */
export class JobTable {
  public readonly jobs = new Map<string, JobEntry>();

  public readonly minions = new Map<string, MinionEntry>();

  /** Tasks that were looked up before. */
  private readonly tasksByName = new Map<string, TaskEntry>();

  /**
   * Jobs whose progress has changed since it was last stored, and their tasks of
   * which it has.
   */
  public readonly changed = new Map<string, Set<TaskEntry>>();

  public add(
    specification: JobSpecification,
    queue: QueueSettings,
    acceptedAt: number,
  ): JobEntry {
    const job = new JobEntry(specification, queue, acceptedAt);
    this.jobs.set(specification.identifier, job);
    return job;
  }

  /** Removes a job and its tasks. */
  public remove(job: JobEntry): void {
    this.jobs.delete(job.specification.identifier);
    for (const { name } of job.tasks()) {
      this.tasksByName.delete(name);
    }
  }

  /** Removes the tasks of a job's occurrences that are done. */
  public dropDoneOccurrences(job: JobEntry): void {
    for (const task of job.dropDoneOccurrences()) {
      this.tasksByName.delete(task.name);
      this.markChanged(task);
    }
  }

  /** Returns the task of the given name. */
  public task(name: string): TaskEntry | undefined {
    const known = this.tasksByName.get(name);
    if (known !== undefined) {
      return known;
    }
    const task = this.findTask(name);
    if (task !== undefined) {
      this.tasksByName.set(name, task);
    }
    return task;
  }

  /** Returns the minion of the given incarnation, created if needed. */
  public getOrAddMinion(incarnation: string, now: number): MinionEntry {
    let minion = this.minions.get(incarnation);
    if (minion === undefined) {
      minion = new MinionEntry(incarnation, now);
      this.minions.set(incarnation, minion);
    }
    return minion;
  }

  /** Marks the progress of a task to be stored. */
  public markChanged(task: TaskEntry): void {
    this.changedTasksOf(task.jobIdentifier).add(task);
  }

  /** Marks the progress of a job to be stored, apart from that of its tasks. */
  public markJobChanged(job: JobEntry): void {
    this.changedTasksOf(job.specification.identifier);
  }

  /** Removes a minion, releases its current tasks and returns them. */
  public removeMinion(incarnation: string, now: number): readonly TaskEntry[] {
    return this.releaseRuns(incarnation, () => false, now);
  }

  /**
   * Removes runs from a minion, releases those tasks whose current runs they are,
   * and returns them. Removes the minion if it has no run left.
   *
   * @param isKept - Whether a run may still be at work, or may still begin.
   */
  public releaseRuns(
    incarnation: string,
    isKept: (run: MinionRun) => boolean,
    now: number,
  ): readonly TaskEntry[] {
    const minion = this.minions.get(incarnation);
    if (minion === undefined) {
      return [];
    }
    const released: TaskEntry[] = [];
    for (const minionRun of [...minion.runs.values()]) {
      const { task, run } = minionRun;
      if (isKept(minionRun)) {
        continue;
      }
      minion.removeRun(task.name, run);
      if (task.isOn(incarnation, run)) {
        task.release(now);
        this.markChanged(task);
        released.push(task);
      }
    }
    if (minion.runs.size === 0) {
      this.minions.delete(incarnation);
    }
    return released;
  }

  private changedTasksOf(identifier: string): Set<TaskEntry> {
    return memo(this.changed, identifier, () => new Set<TaskEntry>());
  }

  private findTask(name: string): TaskEntry | undefined {
    const parts = splitTaskName(name);
    return parts === undefined
      ? undefined
      : this.jobs
          .get(parts.jobIdentifier)
          ?.task(parts.occurrence, parts.step, parts.index);
  }
}
