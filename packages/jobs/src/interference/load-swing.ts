import type { SentSwing } from './sent-swing.js';

/**
 * A load that swings periodically around its mean, as that of a service whose
 * users come and go. Loads are shares of the time in which a task is busy.
 */
export interface LoadSwing {
  readonly mean: number;
  /** Half the difference between the highest and the lowest load. */
  readonly amplitude: number;
  readonly periodMilliseconds: number;
  /** Time of one of the peaks, in milliseconds on the reader's clock. */
  readonly peakAt: number;
}

/** A load can't be less than this, nor more than the value below. */
const MINIMUM_LOAD = 0;

const MAXIMUM_LOAD = 0.98;

/** Returns the load at a time. */
export function loadAt(swing: LoadSwing, at: number): number {
  const { mean, amplitude, periodMilliseconds, peakAt } = swing;
  const angle = (2 * Math.PI * (at - peakAt)) / periodMilliseconds;
  const load = mean + amplitude * Math.cos(angle);
  return Math.min(MAXIMUM_LOAD, Math.max(MINIMUM_LOAD, load));
}

/** Returns the highest load between two times. */
export function highestLoad(
  swing: LoadSwing,
  from: number,
  until: number,
): number {
  const { periodMilliseconds, peakAt } = swing;
  const periods = Math.ceil((from - peakAt) / periodMilliseconds);
  const nextPeakAt = peakAt + periods * periodMilliseconds;
  return nextPeakAt <= until
    ? loadAt(swing, nextPeakAt)
    : Math.max(loadAt(swing, from), loadAt(swing, until));
}

/** Returns a swing for a reader with another clock. */
export function sentSwing(swing: LoadSwing, now: number): SentSwing {
  const { mean, amplitude, periodMilliseconds, peakAt } = swing;
  const periods = Math.ceil((now - peakAt) / periodMilliseconds);
  const millisecondsUntilPeak = Math.round(
    peakAt + periods * periodMilliseconds - now,
  );
  return {
    mean: rounded(mean),
    amplitude: rounded(amplitude),
    periodMilliseconds: Math.round(periodMilliseconds),
    millisecondsUntilPeak,
  };
}

/** Returns a received swing on the reader's clock. */
export function receivedSwing(
  { millisecondsUntilPeak, ...swing }: SentSwing,
  now: number,
): LoadSwing {
  return { ...swing, peakAt: now + millisecondsUntilPeak };
}

function rounded(load: number): number {
  return Math.round(load * 1000) / 1000;
}
