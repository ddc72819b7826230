const POLL_WAIT_MILLISECONDS = 900;

/** While there is no lease to renew, so that a new one is given soon. */
const UNLEASED_WAIT_MILLISECONDS = 150;

/** While serving tasks run beside batch tasks, so that throttling is prompt. */
const THROTTLING_WAIT_MILLISECONDS = 450;

/** Conditions that determine how long a poll may wait. */
export interface PollNeeds {
  /** The lists were read under the present fencing token. */
  readonly listsAreCurrent: boolean;
  readonly leased: boolean;
  readonly throttling: boolean;
}

/** Returns for how long a poll may wait for an end. */
export function pollWait(needs: PollNeeds): number {
  if (!needs.listsAreCurrent) {
    return 0;
  }
  if (!needs.leased) {
    return UNLEASED_WAIT_MILLISECONDS;
  }
  return needs.throttling
    ? THROTTLING_WAIT_MILLISECONDS
    : POLL_WAIT_MILLISECONDS;
}
