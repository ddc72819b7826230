import type { Configuration } from '@basilcourse/shared-state/configuration/configuration';
import { taskKindOf } from '@basilcourse/shared-state/configuration/task-kind-of';
import type { Resources } from '@basilcourse/shared-state/records/resources';
import { add } from '@basilcourse/shared-state/resources/add';
import { NO_RESOURCES } from '@basilcourse/shared-state/resources/no-resources';
import { subtract } from '@basilcourse/shared-state/resources/subtract';
import type { Attempt } from '@basilcourse/shared-state/scheduling/attempt';
import type { Scheduling } from '@basilcourse/shared-state/scheduling/scheduling';
import {
  isServiceTask,
  ownerOf,
} from '@basilcourse/shared-state/scheduling/task-names';
import type { Worker } from '@basilcourse/shared-state/scheduling/worker';

import type { Candidate } from './candidate.js';

/** Available resources and tasks of one worker during a plan pass. */
interface WorkerCapacity {
  readonly worker: Worker;
  readonly available: Resources;
  /** Resources that attempts being evicted will release. */
  readonly pendingRelease: Resources;
  readonly neighbours: Map<string, number>;
}

/** Tracks the available resources of a cell's workers during a plan pass. */
export class CapacityTracker {
  private readonly capacities = new Map<string, WorkerCapacity>();

  private readonly minionsByLocation = new Map<string, number>();

  public constructor(
    private readonly configuration: Configuration,
    scheduling: Scheduling,
    cell: string,
  ) {
    for (const worker of scheduling.workers.values()) {
      const attempts = scheduling.attemptsOn(worker.description.worker);
      for (const attempt of attempts) {
        this.countMinion(worker, attempt.task);
      }
      if (worker.cell === cell && this.acceptsTasks(worker)) {
        this.capacities.set(worker.description.worker, {
          worker,
          available: subtract(worker.description.resources, worker.assigned),
          pendingRelease: this.pendingReleaseOf(attempts),
          neighbours: this.countKinds(attempts),
        });
      }
    }
  }

  /** Workers of the cell that accept new tasks, as candidates for one task. */
  public candidatesFor(task: string): readonly Candidate[] {
    const service = isServiceTask(task) ? ownerOf(task) : '';
    return [...this.capacities.values()].map(workerCapacity =>
      this.candidateOf(workerCapacity, service),
    );
  }

  /** Available resources, including those that pending evictions release. */
  public availableAfterEvictions(worker: string): Resources {
    const workerCapacity = this.capacities.get(worker);
    return workerCapacity === undefined
      ? NO_RESOURCES
      : add(workerCapacity.available, workerCapacity.pendingRelease);
  }

  /** Reserves resources for a placement decided in this pass. */
  public reserve(worker: string, task: string, resources: Resources): void {
    const workerCapacity = this.capacities.get(worker);
    if (workerCapacity === undefined) {
      return;
    }
    this.countMinion(workerCapacity.worker, task);
    const { neighbours } = workerCapacity;
    const kind = this.kindOf(task);
    neighbours.set(kind, (neighbours.get(kind) ?? 0) + 1);
    const available = subtract(workerCapacity.available, resources);
    this.capacities.set(worker, { ...workerCapacity, available });
  }

  /** Reserves resources that pending evictions release for a waiting task. */
  public reservePendingRelease(worker: string, resources: Resources): void {
    const workerCapacity = this.capacities.get(worker);
    if (workerCapacity !== undefined) {
      const pendingRelease = subtract(workerCapacity.pendingRelease, resources);
      this.capacities.set(worker, { ...workerCapacity, pendingRelease });
    }
  }

  /** Adds the resources of an attempt that this pass decided to evict. */
  public addPendingRelease(attempt: Attempt): void {
    const workerCapacity = this.capacities.get(attempt.worker);
    if (workerCapacity !== undefined) {
      const pendingRelease = add(
        workerCapacity.pendingRelease,
        attempt.resources,
      );
      this.capacities.set(attempt.worker, {
        ...workerCapacity,
        pendingRelease,
      });
    }
  }

  private countKinds(attempts: readonly Attempt[]): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { task } of attempts) {
      const kind = this.kindOf(task);
      counts.set(kind, (counts.get(kind) ?? 0) + 1);
    }
    return counts;
  }

  private kindOf(task: string): string {
    return taskKindOf(this.configuration, task);
  }

  private acceptsTasks(worker: Worker): boolean {
    return (
      worker.condition === 'ready' &&
      !this.configuration.drained.has(worker.description.worker)
    );
  }

  private pendingReleaseOf(attempts: readonly Attempt[]): Resources {
    return attempts
      .filter(attempt => attempt.state === 'evicting')
      .map(attempt => attempt.resources)
      .reduce(add, NO_RESOURCES);
  }

  private candidateOf(
    workerCapacity: WorkerCapacity,
    service: string,
  ): Candidate {
    const { worker, rack, availabilityZone, resources } =
      workerCapacity.worker.description;
    return {
      worker,
      rack,
      availabilityZone,
      capacity: resources,
      availableResources: workerCapacity.available,
      neighbours: workerCapacity.neighbours,
      sameServiceOnWorker: this.minionsAt(service, worker),
      sameServiceInRack: this.minionsAt(service, rack),
      sameServiceInZone: this.minionsAt(service, availabilityZone),
    };
  }

  private minionsAt(service: string, location: string): number {
    return this.minionsByLocation.get(`${service} ${location}`) ?? 0;
  }

  private countMinion(worker: Worker, task: string): void {
    if (!isServiceTask(task)) {
      return;
    }
    const { description } = worker;
    const { rack, availabilityZone } = description;
    for (const location of [description.worker, rack, availabilityZone]) {
      const key = `${ownerOf(task)} ${location}`;
      this.minionsByLocation.set(
        key,
        (this.minionsByLocation.get(key) ?? 0) + 1,
      );
    }
  }
}
