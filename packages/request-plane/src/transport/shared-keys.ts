import { timingSafeEqual } from 'node:crypto';

/** Header field with the key that basilcourse processes share. */
export const KEY_FIELD = 'basilcourse-key';

/** Keys that processes share; two are valid during the rotation of a key. */
export interface SharedKeys {
  /** Key sent with each call. */
  readonly current: string;
  /** Second key that is accepted; empty for none. */
  readonly other: string;
}

function isEqual(left: string, right: string): boolean {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return (
    leftBytes.length === rightBytes.length &&
    timingSafeEqual(leftBytes, rightBytes)
  );
}

/** Returns whether a received key is valid; compares in constant time. */
export function isValidKey(
  keys: SharedKeys,
  received: string | readonly string[] | undefined,
): boolean {
  if (typeof received !== 'string') {
    return false;
  }
  const isCurrent = isEqual(received, keys.current);
  const isOther = keys.other !== '' && isEqual(received, keys.other);
  return isCurrent || isOther;
}
