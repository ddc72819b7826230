const LOOK_WAIT_MILLISECONDS = 900;

/** While there is no lease to renew, so that a new one is given soon. */
const UNLEASED_WAIT_MILLISECONDS = 150;

/** While filling tasks are paced by their neighbours' figures. */
const PACING_WAIT_MILLISECONDS = 250;

/** What the next look at a minion depends on. */
export interface LookNeeds {
  /** The lists were read under the present fencing token. */
  readonly listsAreCurrent: boolean;
  readonly leased: boolean;
  readonly pacing: boolean;
}

/** Returns for how long a look may wait for an end. */
export function lookWait(needs: LookNeeds): number {
  if (!needs.listsAreCurrent) {
    return 0;
  }
  if (!needs.leased) {
    return UNLEASED_WAIT_MILLISECONDS;
  }
  return needs.pacing ? PACING_WAIT_MILLISECONDS : LOOK_WAIT_MILLISECONDS;
}
