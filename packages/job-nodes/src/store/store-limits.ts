/** Sizes that a store accepts. */
export interface StoreLimits {
  /** Maximum bytes of a key and its value together, as UTF-8. */
  readonly recordBytes: number;
  /** Maximum bytes of one append. */
  readonly appendBytes: number;
  /** Bytes that each record takes in an append beside its key and value. */
  readonly overheadBytes: number;
}
