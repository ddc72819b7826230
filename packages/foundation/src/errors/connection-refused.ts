/**
 * Returns whether the peer's VM refused the connection, that is, no process
 * listens at the address.
 */
export function connectionRefused(error: unknown): boolean {
  if (!(error instanceof Error)) {
    return false;
  }
  const { code } = error as NodeJS.ErrnoException;
  return code === 'ECONNREFUSED' || connectionRefused(error.cause);
}
