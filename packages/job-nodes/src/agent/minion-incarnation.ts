import type { MinionDescription } from '@basilcourse/jobs/model/minion-description';

/** One incarnation of a minion, and how to call it. */
export interface MinionIncarnation {
  /** Identifier by which the minion expects to be addressed. */
  readonly identifier: string;
  readonly description: MinionDescription;
}
