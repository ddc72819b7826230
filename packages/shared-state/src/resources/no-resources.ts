import type { Resources } from '../records/resources.js';

/** An amount of zero of each resource. */
export const NO_RESOURCES: Resources = {
  processors: 0,
  memoryGigabytes: 0,
  accelerators: 0,
};
