/** Returns the message of a thrown value, which need not be an `Error`. */
export function messageOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
