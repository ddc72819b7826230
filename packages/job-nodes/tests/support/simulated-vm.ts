import type { MinionDriver } from '../../src/agent/minion-driver.js';
import type { AgentSession } from '../../src/leader/agent-session.js';
import type { Leader } from '../../src/leader/leader.js';
import type { FakeMinion } from './fake-minion.js';

/** A VM of the simulation: a minion, and its agent, which can be restarted. */
export class SimulatedVm {
  public driver: MinionDriver | undefined;

  /** The leader that serves the session. */
  public leader: Leader | undefined;

  public session: AgentSession | undefined;

  /** The agent can't reach the leader before this time. */
  public unreachableUntil = 0;

  public readonly name: string;

  public readonly minion: FakeMinion;

  public constructor(name: string, minion: FakeMinion) {
    this.name = name;
    this.minion = minion;
  }
}
