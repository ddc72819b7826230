import type { MinionDescription } from '@basilcourse/jobs/model/minion-description';

/** A minion that is known to live, and how to call it. */
export interface MinionLife {
  /** Identifier that the minion expects to be addressed by. */
  readonly identifier: string;
  readonly description: MinionDescription;
}
