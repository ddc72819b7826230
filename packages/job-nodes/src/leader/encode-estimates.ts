import type { StoredEstimates } from './stored-estimates.js';

/** Encoded estimates, and how much of them was left out. */
interface EncodedEstimates {
  readonly text: string;
  /** Rows and loads that did not fit. */
  readonly leftOut: number;
}

/**
 * Encodes estimates in a limited size. What does not fit is left out, from the end
 * of each list, and is learned again by the next leader.
 */
export function encodeEstimates(
  estimates: StoredEstimates,
  maximumBytes: number,
): EncodedEstimates {
  const total = countOf(estimates);
  let current = estimates;
  let text = JSON.stringify(current);
  while (Buffer.byteLength(text) > maximumBytes && countOf(current) > 0) {
    current = halved(current);
    text = JSON.stringify(current);
  }
  return { text, leftOut: total - countOf(current) };
}

function countOf({ images, loads }: StoredEstimates): number {
  return images.harms.length + images.lowestTails.length + loads.jobs.length;
}

function halved({ images, loads }: StoredEstimates): StoredEstimates {
  return {
    images: {
      harms: firstHalf(images.harms),
      lowestTails: firstHalf(images.lowestTails),
    },
    loads: { ...loads, jobs: firstHalf(loads.jobs) },
  };
}

function firstHalf<Row>(rows: readonly Row[]): readonly Row[] {
  return rows.slice(0, Math.floor(rows.length / 2));
}
