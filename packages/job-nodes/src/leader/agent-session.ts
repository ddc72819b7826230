import type { Writable } from 'node:stream';

import type { LeaderMessage } from '../lines/leader-message.js';

/** More waiting than this means that the agent does not read. */
const MOST_WAITING_BYTES = 1024 * 1024;

/** The leader's side of the stream of one agent. */
export class AgentSession {
  /** Incarnation that the agent last reported; empty for none. */
  public incarnation = '';

  public heardAt: number;

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
    this.heardAt = now;
  }

  /** Sends a message; ends the stream if the agent does not read. */
  public send(message: LeaderMessage): void {
    if (!this.open) {
      return;
    }
    this.output.write(`${JSON.stringify(message)}\n`);
    if (this.output.writableLength > MOST_WAITING_BYTES) {
      this.close();
    }
  }

  /** Ends the stream. */
  public close(): void {
    this.open = false;
    this.output.destroy();
  }
}
