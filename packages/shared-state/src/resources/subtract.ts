import type { Resources } from '../records/resources.js';

/** Subtracts the second amount of resources from the first. */
export function subtract(left: Resources, right: Resources): Resources {
  return {
    processors: left.processors - right.processors,
    memoryGigabytes: left.memoryGigabytes - right.memoryGigabytes,
    accelerators: left.accelerators - right.accelerators,
  };
}
