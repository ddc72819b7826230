import type { Resources } from '../records/resources.js';

/** Zero of each resource. */
export const NO_RESOURCES: Resources = {
  processors: 0,
  memoryGigabytes: 0,
  accelerators: 0,
};
