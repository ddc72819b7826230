import type { Resources } from '../records/resources.js';

/** A batch job: one task that runs until it finishes. */
export interface BatchJob {
  readonly name: string;
  readonly team: string;
  readonly resources: Resources;
  readonly taskKind: string;
  /** Run time declared by the operator; only a hint. */
  readonly declaredSeconds: number;
  readonly urgent: boolean;
  /** Jobs that must finish before this one starts. */
  readonly after: readonly string[];
}
