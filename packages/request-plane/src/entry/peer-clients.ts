import type { AgentClient } from './agent-client.js';
import type { EntryClient } from './entry-client.js';

/** Clients of the peers by address. */
export interface PeerClients {
  readonly agentAt: (address: string) => AgentClient;
  readonly entryAt: (address: string) => EntryClient;
  /** Closes the connection to a peer that does not answer. */
  readonly reset: (address: string) => void;
}
