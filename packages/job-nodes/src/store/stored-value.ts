/** A key and its value; a key without a value is dropped. */
export interface StoredValue {
  readonly key: string;
  readonly value: string | undefined;
}
