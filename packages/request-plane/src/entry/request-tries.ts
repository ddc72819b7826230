/** Tries of one request at the most. */
export const MAXIMUM_TRIES = 5;

/** Identifier of one try of a caller's request. */
export function tryIdOf(requestId: string, number: number): string {
  return `${requestId}.${number}`;
}
