import { JOB_KEY_PREFIX } from './record-keys.js';

/** Returns the key of the record of an accepted job. */
export function jobKey(identifier: string): string {
  return JOB_KEY_PREFIX + identifier;
}
