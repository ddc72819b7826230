import type { MinionDescription } from '../../src/model/minion-description.js';
import type { JobTable } from '../../src/state/job-table.js';
import type { MinionEntry } from '../../src/state/minion-entry.js';

/** Adds a connected minion of four cores. */
export function addMinion(
  table: JobTable,
  incarnation: string,
  fields: Partial<MinionDescription> = {},
): MinionEntry {
  const minion = table.getOrAddMinion(incarnation, 0);
  minion.connected = true;
  minion.agent = `agent-${incarnation}`;
  minion.fencingToken = 1;
  minion.description = {
    incarnation,
    service: 'service',
    zone: 'zone',
    capacity: {
      processorMillicores: 4000,
      memoryMegabytes: 1000,
      accelerators: 0,
    },
    labels: ['kind', 'rack'],
    draining: false,
    remainingMilliseconds: 0,
    ...fields,
  };
  return minion;
}
