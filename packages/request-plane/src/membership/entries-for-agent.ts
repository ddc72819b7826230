import { rendezvousRank } from '@basilcourse/foundation/util/rendezvous-rank';

/** Entries that each agent sends its heartbeats to. */
export const ENTRIES_PER_AGENT = 3;

/** Addresses of the entries that an agent reports to. */
export function entriesForAgent(
  agentId: string,
  entryAddresses: readonly string[],
): readonly string[] {
  return rendezvousRank(agentId, entryAddresses).slice(0, ENTRIES_PER_AGENT);
}
