import type { SlotGate } from './slot-gate.js';

/** An upstream on the agent's VM, as it last announced itself. */
export interface LocalUpstream {
  readonly service: string;
  readonly attempt: string;
  /** IP address and port on which it serves. */
  readonly address: string;
  readonly slots: number;
  readonly connections: number;
  readonly leaving: boolean;
  readonly announcedAt: number;
  /** Limits the requests that run at the upstream at once. */
  readonly gate: SlotGate;
}
