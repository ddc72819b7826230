import type { Resources } from '@basilcourse/shared-state/records/resources';

/** A task that needs a worker. */
export interface PlacementRequest {
  readonly task: string;
  readonly taskKind: string;
  readonly role: 'service' | 'job';
  readonly resources: Resources;
  readonly urgent: boolean;
  /** Workers on which the task has failed. */
  readonly failedOn: readonly string[];
}
