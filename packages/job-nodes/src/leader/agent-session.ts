import type { Writable } from 'node:stream';

import type { LeaderMessage } from '../lines/leader-message.js';

/** With more unsent data than this, the agent is assumed not to read. */
const MAXIMUM_UNSENT_BYTES = 1024 * 1024;

/** The leader's end of the stream of one agent. */
export class AgentSession {
  /** Incarnation of the minion that the agent last reported; empty if none. */
  public incarnation = '';

  public lastContactAt: number;

  public open = true;

  public readonly agent: string;

  public readonly fencingToken: number;

  private readonly output: Writable;

  public constructor(
    agent: string,
    fencingToken: number,
    output: Writable,
    now: number,
  ) {
    this.agent = agent;
    this.fencingToken = fencingToken;
    this.output = output;
    this.lastContactAt = now;
  }

  /** Sends a message; closes the stream if the agent does not read. */
  public send(message: LeaderMessage): void {
    if (!this.open) {
      return;
    }
    this.output.write(`${JSON.stringify(message)}\n`);
    if (this.output.writableLength > MAXIMUM_UNSENT_BYTES) {
      this.close();
    }
  }

  public close(): void {
    this.open = false;
    this.output.destroy();
  }
}
