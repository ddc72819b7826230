import type { Resources } from '../records/resources.js';
import { add } from './add.js';
import { NO_RESOURCES } from './no-resources.js';

/** Returns the sum of several amounts of resources. */
export function sumOf(amounts: readonly Resources[]): Resources {
  return amounts.reduce(add, NO_RESOURCES);
}
