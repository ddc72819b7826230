/**
 * Codes of errors raised before a connection is established, so that nothing
 * was sent.
 */
const UNCONNECTED_CODES: ReadonlySet<unknown> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/** Returns whether a call failed before its peer could have received it. */
export function neverConnected(error: unknown): boolean {
  if (!(error instanceof Error)) {
    return false;
  }
  const { code } = error as NodeJS.ErrnoException;
  return UNCONNECTED_CODES.has(code) || neverConnected(error.cause);
}
