import type { BatchJob } from '@basilcourse/shared-state/release-note/batch-job';
import type { Limits } from '@basilcourse/shared-state/release-note/limits';
import type { Service } from '@basilcourse/shared-state/release-note/service';
import type { Team } from '@basilcourse/shared-state/release-note/team';

/** The configuration in force, as returned by an entry. */
export interface ConfigurationView {
  readonly revision: number;
  readonly limits: Limits;
  readonly teams: readonly Team[];
  readonly services: readonly Service[];
  readonly jobs: readonly BatchJob[];
  readonly drained: readonly string[];
}
