import type { TimeSource } from './time-source.js';

/** Returns clocks; the wall clock is read once, then advances monotonically. */
export function anchoredTime(): TimeSource {
  const anchor = Date.now() - performance.now();
  return {
    now: () => anchor + performance.now(),
    steady: () => performance.now(),
  };
}
