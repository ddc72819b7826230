/** Maximum time from the expiry of a lease until the minion kills its runs. */
export const KILL_MARGIN_MILLISECONDS = 400;
