/**
 * Returns the key that identifies repeats of a caller's request: its
 * idempotency key, within its service and team; empty without an idempotency
 * key.
 */
export function claimKeyOf(
  service: string,
  team: string,
  idempotencyKey: string,
): string {
  return idempotencyKey === '' ? '' : `${service} ${team} ${idempotencyKey}`;
}
