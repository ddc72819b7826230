import type { Resources } from '../records/resources.js';

/** Multiplies an amount of resources by a count. */
export function multiply(resources: Resources, count: number): Resources {
  return {
    processors: resources.processors * count,
    memoryGigabytes: resources.memoryGigabytes * count,
    accelerators: resources.accelerators * count,
  };
}
