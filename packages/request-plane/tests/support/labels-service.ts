import type { Service } from '@basilcourse/shared-state/release-note/service';

/** A service with a value for every property. */
export const labelsService: Service = {
  name: 'labels',
  team: 'docks',
  taskKind: 'label',
  resources: { processors: 1, memoryGigabytes: 1, accelerators: 0 },
  minions: 1,
  slots: 8,
  connections: 64,
  timeoutMilliseconds: 750,
  targetMilliseconds: 50,
};
