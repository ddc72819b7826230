import type { TimeSource } from './time-source.js';

/** Returns a wall clock that is read once and then advanced monotonically. */
export function anchoredTime(): TimeSource {
  const anchor = Date.now() - performance.now();
  return {
    now: () => anchor + performance.now(),
    steady: () => performance.now(),
  };
}
