const POLL_INTERVAL_MILLISECONDS = 25;

/** Waits until a condition holds; returns false after the time-out. */
export async function waitUntil(
  condition: () => boolean,
  timeoutMilliseconds: number,
): Promise<boolean> {
  const deadline = performance.now() + timeoutMilliseconds;
  while (!condition()) {
    if (performance.now() > deadline) {
      return false;
    }
    await new Promise(resolve =>
      setTimeout(resolve, POLL_INTERVAL_MILLISECONDS),
    );
  }
  return true;
}
