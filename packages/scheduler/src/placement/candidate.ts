import type { Resources } from '@basilcourse/shared-state/records/resources';

/** A worker that is considered for a task. */
export interface Candidate {
  readonly worker: string;
  readonly rack: string;
  readonly availabilityZone: string;
  readonly capacity: Resources;
  /** Resources not assigned to any attempt that may still run there. */
  readonly availableResources: Resources;
  /** Number of tasks assigned there, by their kinds. */
  readonly neighbours: ReadonlyMap<string, number>;
  /** Number of minions of the same service in the same rack. */
  readonly sameServiceInRack: number;
  /** Number of minions of the same service in the same availability zone. */
  readonly sameServiceInZone: number;
  readonly sameServiceOnWorker: number;
}
