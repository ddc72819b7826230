import type { StoredValue } from './stored-value.js';

/** Returns the bytes of a key and its value together, as UTF-8. */
export function recordBytes({ key, value }: StoredValue): number {
  return Buffer.byteLength(key) + Buffer.byteLength(value ?? '');
}
