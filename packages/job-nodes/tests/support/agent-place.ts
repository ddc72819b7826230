import type { MinionDriver } from '../../src/agent/minion-driver.js';
import type { AgentSession } from '../../src/leader/agent-session.js';
import type { Leader } from '../../src/leader/leader.js';
import type { FakeMinion } from './fake-minion.js';

/** A VM of the test world: a minion, and what stands beside it now. */
export class AgentPlace {
  public driver: MinionDriver | undefined;

  /** The leader that the session is with. */
  public leader: Leader | undefined;

  public session: AgentSession | undefined;

  /** The agent can't reach the leader before this time. */
  public cutUntil = 0;

  public readonly name: string;

  public readonly minion: FakeMinion;

  public constructor(name: string, minion: FakeMinion) {
    this.name = name;
    this.minion = minion;
  }
}
