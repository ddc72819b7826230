/** A key and its value; without a value, the key is deleted. */
export interface StoredValue {
  readonly key: string;
  readonly value: string | undefined;
}
