/** Users treat a task as lost after 3 s; a start takes its part of them. */
const PATIENCE_MILLISECONDS = 2000;

/** While a service is full, urgency decides for longer. */
const PATIENCE_WHILE_FULL_MILLISECONDS = 5000;

/** Returns the time after which a ready task counts as passed over. */
export function patience(isFull: boolean): number {
  return isFull ? PATIENCE_WHILE_FULL_MILLISECONDS : PATIENCE_MILLISECONDS;
}
