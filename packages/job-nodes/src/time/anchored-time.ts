import type { TimeSource } from './time-source.js';

/** The time of day at the start, carried on by the steady clock. */
export function anchoredTime(): TimeSource {
  const anchor = Date.now() - performance.now();
  return {
    now: () => anchor + performance.now(),
    steady: () => performance.now(),
  };
}
