import type { RunOutcome } from '../outcome/run-outcome.js';
import type { UpstreamLoad } from '../routing/upstream-load.js';

/** Answer of an agent to one request, with the load of the upstream. */
export interface AgentAnswer {
  readonly outcome: RunOutcome;
  readonly load: Omit<UpstreamLoad, 'ownInFlight'> | undefined;
}
