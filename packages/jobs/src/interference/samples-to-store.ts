import type { JobLoadSnapshot } from './job-load-snapshot.js';
import type { LoadSample } from './load-sample.js';

/** Of each job one sample in this time is stored. */
const STORED_INTERVAL_MILLISECONDS = 900;

const STORED_SPAN_MILLISECONDS = 30_000;

/** Returns the samples of a job that are stored. */
export function samplesToStore(
  samples: readonly LoadSample[],
  now: number,
): JobLoadSnapshot['samples'] {
  const rows: (readonly [number, number, number])[] = [];
  let storedAt = now - STORED_SPAN_MILLISECONDS;
  for (const { at, tailLatency, expectedSlowdown } of samples) {
    if (at - storedAt >= STORED_INTERVAL_MILLISECONDS) {
      storedAt = at;
      const slowdown = Math.round(expectedSlowdown * 100) / 100;
      rows.push([Math.round(at), tailLatency, slowdown]);
    }
  }
  return rows;
}
