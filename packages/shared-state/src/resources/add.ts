import type { Resources } from '../records/resources.js';

/** Adds two amounts of resources. */
export function add(left: Resources, right: Resources): Resources {
  return {
    processors: left.processors + right.processors,
    memoryGigabytes: left.memoryGigabytes + right.memoryGigabytes,
    accelerators: left.accelerators + right.accelerators,
  };
}
