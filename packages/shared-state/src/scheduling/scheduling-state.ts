import { rendezvousRank } from '@basilcourse/foundation/util/rendezvous-rank';

import { add } from '../resources/add.js';
import { subtract } from '../resources/subtract.js';
import type { Attempt } from './attempt.js';
import type { Cell } from './cell.js';
import { GroupedAttempts } from './grouped-attempts.js';
import { newTaskProgress } from './new-task-progress.js';
import type { PastMinion } from './past-minion.js';
import type { Scheduling } from './scheduling.js';
import { ownerOf } from './task-names.js';
import type { TaskProgress } from './task-progress.js';
import type { Worker } from './worker.js';

/** Mutable state behind the `Scheduling` view; changed only by the fold. */
export class SchedulingState implements Scheduling {
  public readonly cells = new Map<string, Cell>();

  public readonly workers = new Map<string, Worker>();

  public readonly attempts = new Map<string, Attempt>();

  public readonly tasks = new Map<string, TaskProgress>();

  public readonly pastMinions = new Map<string, PastMinion>();

  private readonly byWorker = new GroupedAttempts(attempt => attempt.worker);

  private readonly byOwner = new GroupedAttempts(attempt =>
    ownerOf(attempt.task),
  );

  private readonly ownerCells = new Map<string, string>();

  private cellsWithWorkers: readonly string[] = [];

  public readonly attemptsOn = (worker: string): readonly Attempt[] =>
    this.byWorker.membersOf(worker);

  public readonly attemptsOf = (owner: string): readonly Attempt[] =>
    this.byOwner.membersOf(owner);

  public progressOf(task: string): TaskProgress {
    return this.tasks.get(task) ?? newTaskProgress(task);
  }

  /** Cell whose lease holder decides for a task; undefined without workers. */
  public readonly ownerCell = (task: string): string | undefined => {
    const forwarded = this.tasks.get(task)?.forwardedTo ?? '';
    if (forwarded !== '' && this.cellsWithWorkers.includes(forwarded)) {
      return forwarded;
    }
    const cached = this.ownerCells.get(task);
    if (cached !== undefined) {
      return cached;
    }
    const owner = rendezvousRank(task, this.cellsWithWorkers)[0];
    if (owner !== undefined) {
      this.ownerCells.set(task, owner);
    }
    return owner;
  };

  public setWorker(worker: Worker): void {
    this.workers.set(worker.description.worker, worker);
    this.refreshCells();
  }

  public removeWorker(worker: string): void {
    this.workers.delete(worker);
    this.refreshCells();
  }

  /** Adds an active attempt and reserves its resources on the worker. */
  public addAttempt(attempt: Attempt): void {
    this.storeAttempt(attempt);
    const worker = this.workers.get(attempt.worker);
    if (worker !== undefined) {
      const assigned = add(worker.assigned, attempt.resources);
      this.workers.set(attempt.worker, { ...worker, assigned });
    }
  }

  /**
   * Stores an attempt. May only replace an attempt with the same worker and
   * resources, because the reserved resources are not changed.
   */
  public storeAttempt(attempt: Attempt): void {
    this.attempts.set(attempt.id, attempt);
    this.byWorker.set(attempt);
    this.byOwner.set(attempt);
  }

  /** Removes an ended attempt and releases its resources on the worker. */
  public removeAttempt(attempt: Attempt): void {
    this.attempts.delete(attempt.id);
    this.byWorker.delete(attempt);
    this.byOwner.delete(attempt);
    const worker = this.workers.get(attempt.worker);
    if (worker !== undefined) {
      const assigned = subtract(worker.assigned, attempt.resources);
      this.workers.set(attempt.worker, { ...worker, assigned });
    }
  }

  /**
   * Records a period in which a minion kept idempotency keys, and discards the
   * periods that ended before a given time.
   */
  public recordKeyOwnershipPeriod(
    minion: PastMinion,
    discardBefore: number,
  ): void {
    for (const [name, { keptUntil }] of this.pastMinions) {
      if (keptUntil < discardBefore) {
        this.pastMinions.delete(name);
      }
    }
    this.pastMinions.set(`${minion.attempt}@${minion.keptFrom}`, minion);
  }

  private refreshCells(): void {
    const cells = new Set([...this.workers.values()].map(({ cell }) => cell));
    const sorted = [...cells].sort();
    if (sorted.join() !== this.cellsWithWorkers.join()) {
      this.cellsWithWorkers = sorted;
      this.ownerCells.clear();
    }
  }
}
