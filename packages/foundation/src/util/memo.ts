/** Returns the value of a key, which is computed when it is first needed. */
export function memo<Key, Value>(
  values: Map<Key, Value>,
  key: Key,
  compute: () => Value,
): Value {
  const known = values.get(key);
  if (known !== undefined) {
    return known;
  }
  const value = compute();
  values.set(key, value);
  return value;
}
