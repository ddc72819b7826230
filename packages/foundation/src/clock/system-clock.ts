import type { Clock } from './clock.js';

/** Reads the operating system clock. */
export const systemClock: Clock = { now: () => Date.now() };
