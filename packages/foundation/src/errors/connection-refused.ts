/** Returns whether the peer's VM answered that no process listens there. */
export function connectionRefused(error: unknown): boolean {
  if (!(error instanceof Error)) {
    return false;
  }
  const { code } = error as NodeJS.ErrnoException;
  return code === 'ECONNREFUSED' || connectionRefused(error.cause);
}
