import type { HybridTimestamp } from './hybrid-timestamp.js';

/** Compares two timestamps for sorting; the earlier one comes first. */
export function compareTimestamps(
  left: HybridTimestamp,
  right: HybridTimestamp,
): number {
  return left.wall - right.wall || left.logical - right.logical;
}
