/** Returns the value at a quantile from 0 to 1; 0 when there are no values. */
export function percentile(
  values: readonly number[],
  quantile: number,
): number {
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.min(
    sorted.length - 1,
    Math.floor(quantile * sorted.length),
  );
  return sorted[index] ?? 0;
}
