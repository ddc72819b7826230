/** A straight line fitted to measured points. */
export interface FittedLine {
  readonly slope: number;
  /** Value of the line at a size. */
  readonly valueAt: (size: number) => number;
}

/** Fits a line to the values at the given sizes by least squares. */
export function fitLine(
  sizes: readonly number[],
  values: readonly number[],
): FittedLine {
  const count = Math.max(1, sizes.length);
  const meanSize = sizes.reduce((sum, size) => sum + size, 0) / count;
  const meanValue = values.reduce((sum, value) => sum + value, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const [index, size] of sizes.entries()) {
    covariance += (size - meanSize) * ((values[index] ?? 0) - meanValue);
    variance += (size - meanSize) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  return { slope, valueAt: size => meanValue + slope * (size - meanSize) };
}
