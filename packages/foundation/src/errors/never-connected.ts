/** Errors that arise before a connection stands, so that nothing was sent. */
const CODES: ReadonlySet<unknown> = new Set([
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
  return CODES.has(code) || neverConnected(error.cause);
}
