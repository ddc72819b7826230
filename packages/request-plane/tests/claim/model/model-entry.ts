import type { SharedState } from '@basilcourse/shared-state/follow/shared-state';

import type { EntryClaims } from '../../../src/claim/entry-claims.js';
import type { KeyClaimer } from '../../../src/claim/key-claimer.js';
import type { MemberTable } from '../../../src/membership/member-table.js';

/** One entry with its own view of the log and of its peers. */
export interface ModelEntry {
  readonly instance: string;
  readonly entryClaims: EntryClaims;
  readonly state: SharedState;
  readonly members: MemberTable;
  readonly claimer: KeyClaimer;
}
