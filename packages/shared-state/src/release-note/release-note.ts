import type { BatchJob } from './batch-job.js';
import type { Limits } from './limits.js';
import type { Service } from './service.js';
import type { Team } from './team.js';
import type { WorkerShape } from './worker-shape.js';

/** Content of a release note, as parsed from its text. */
export interface ReleaseNote {
  readonly name: string;
  readonly operator: string;
  readonly basedOn: number;
  readonly description: string;
  readonly limits: Limits | undefined;
  readonly shapes: readonly WorkerShape[];
  readonly teams: readonly Team[];
  readonly services: readonly Service[];
  readonly jobs: readonly BatchJob[];
  /** Services and jobs to withdraw, with their kind, as in `service labels`. */
  readonly withdrawn: readonly string[];
  /** Workers to drain. */
  readonly drained: readonly string[];
  /** Drained workers to return to use. */
  readonly restored: readonly string[];
}
