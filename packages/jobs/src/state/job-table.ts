import type { JobSpecification } from '../model/job-specification.js';
import type { QueueSettings } from '../model/queue-settings.js';
import { JobEntry } from './job-entry.js';
import { MinionEntry } from './minion-entry.js';
import { splitTaskName } from './split-task-name.js';
import type { TaskEntry } from './task-entry.js';

/** State of the leader: jobs, minions and the jobs to store. */
export class JobTable {
  public readonly jobs = new Map<string, JobEntry>();

  public readonly minions = new Map<string, MinionEntry>();

  /** Jobs whose progress has changed since it was last stored. */
  public readonly changed = new Set<string>();

  public add(
    specification: JobSpecification,
    queue: QueueSettings,
    acceptedAt: number,
  ): JobEntry {
    const job = new JobEntry(specification, queue, acceptedAt);
    this.jobs.set(specification.identifier, job);
    return job;
  }

  /** Returns the task of the given name. */
  public task(name: string): TaskEntry | undefined {
    const place = splitTaskName(name);
    return place === undefined
      ? undefined
      : this.jobs
          .get(place.jobIdentifier)
          ?.task(place.occurrence, place.step, place.index);
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

  /** Records that the progress of a task's job has to be stored. */
  public markChanged(task: TaskEntry): void {
    this.changed.add(task.jobIdentifier);
  }

  /** Removes a minion, releases its current tasks and returns them. */
  public removeMinion(incarnation: string, now: number): readonly TaskEntry[] {
    const minion = this.minions.get(incarnation);
    if (minion === undefined) {
      return [];
    }
    this.minions.delete(incarnation);
    const freed = [...minion.runs.values()]
      .filter(({ entry, run }) => isCurrent(entry, run, incarnation))
      .map(({ entry }) => entry);
    for (const entry of freed) {
      entry.release(now);
      this.markChanged(entry);
    }
    return freed;
  }
}

function isCurrent(
  entry: TaskEntry,
  run: number,
  incarnation: string,
): boolean {
  return (
    entry.phase === 'assigned' &&
    entry.run === run &&
    entry.incarnation === incarnation
  );
}
