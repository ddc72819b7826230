import type { Resources } from '@basilcourse/shared-state/records/resources';

/** Asks a worker to run an attempt; refused once the lease has expired. */
export interface StartCommand {
  readonly attempt: string;
  readonly task: string;
  readonly taskKind: string;
  readonly role: 'service' | 'job';
  readonly resources: Resources;
  /** End of the lease in milliseconds of Unix time. */
  readonly leaseUntil: number;
  /** Checkpoint to resume from; empty for a fresh start. */
  readonly checkpoint: string;
  /** Service that the minion belongs to; empty for a job. */
  readonly service: string;
  readonly slots: number;
  readonly connections: number;
  readonly declaredSeconds: number;
}
