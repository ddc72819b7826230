import { PART_SEPARATOR, PROGRESS_KEY_PREFIX } from './record-keys.js';

/**
 * Returns the key of a record of a job's progress.
 *
 * @param part - Name of the record in the job; empty for the main one.
 */
export function progressKey(identifier: string, part = ''): string {
  const main = PROGRESS_KEY_PREFIX + identifier;
  return part === '' ? main : main + PART_SEPARATOR + part;
}
