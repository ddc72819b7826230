import { recordBytes } from './record-bytes.js';
import type { StoreLimits } from './store-limits.js';
import type { StoredValue } from './stored-value.js';

/** Values in the order in which they are stored. */
interface SplitValues {
  /** Values by append, each of which fits the store. */
  readonly appends: readonly (readonly StoredValue[])[];
  /** Values that are larger than a record of the store. */
  readonly oversized: readonly StoredValue[];
}

/** Distributes values over appends that the store accepts. */
export function splitAppends(
  values: readonly StoredValue[],
  limits: StoreLimits,
): SplitValues {
  const oversized: StoredValue[] = [];
  const appends: StoredValue[][] = [];
  let append: StoredValue[] = [];
  let bytes = 0;
  for (const value of values) {
    const size = recordBytes(value);
    if (size > limits.recordBytes) {
      oversized.push(value);
      continue;
    }
    const added = size + limits.overheadBytes;
    if (append.length === 0 || bytes + added > limits.appendBytes) {
      append = [];
      appends.push(append);
      bytes = 0;
    }
    append.push(value);
    bytes += added;
  }
  return { appends, oversized };
}
