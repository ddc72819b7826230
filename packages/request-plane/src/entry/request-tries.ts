/** Maximum number of tries of one request. */
export const MAXIMUM_TRIES = 5;

/** Identifier of one try of a caller's request. */
export function tryIdOf(requestId: string, number: number): string {
  return `${requestId}.${number}`;
}
