import type { Writable } from 'node:stream';

import type { LeaderMessage } from '../lines/leader-message.js';

/**
 * With more data than this left unsent by earlier turns of the event loop, the
 * agent is assumed not to read.
 */
const MAXIMUM_UNSENT_BYTES = 1024 * 1024;

/** With more unsent data than this, starts wait for the agent to read. */
const MAXIMUM_UNSENT_BYTES_BEFORE_STARTS = 128 * 1024;

/** Interval of grants that answer reports; heartbeats are always answered. */
const REPORT_GRANT_INTERVAL_MILLISECONDS = 400;

/** The leader's end of the stream of one agent. */
export class AgentSession {
  /** Incarnation of the minion that the agent last reported; empty if none. */
  public incarnation = '';

  public lastContactAt: number;

  public open = true;

  public readonly agent: string;

  public readonly fencingToken: number;

  /** Whether the agent keeps the entries that it was told, until they change. */
  private readonly compact: boolean;

  private readonly output: Writable;

  private corked = false;

  private waitingForDrain = false;

  private grantedAt = Number.NEGATIVE_INFINITY;

  private sentEntries: readonly string[] | undefined;

  public constructor(
    agent: string,
    fencingToken: number,
    output: Writable,
    now: number,
    compact = false,
  ) {
    this.agent = agent;
    this.fencingToken = fencingToken;
    this.output = output;
    this.lastContactAt = now;
    this.compact = compact;
  }

  /** Whether a report has to be answered with a grant. */
  public needsGrant(now: number): boolean {
    return now - this.grantedAt >= REPORT_GRANT_INTERVAL_MILLISECONDS;
  }

  /**
   * Tells the agent that its message renewed its lease, or that there is none to
   * renew.
   *
   * @param sentAt - Time of the agent's message, on the agent's clock.
   */
  public answerContact(
    renewed: boolean,
    sentAt: number,
    entries: readonly string[],
    now: number,
  ): void {
    const unchanged = this.compact && sameEntries(entries, this.sentEntries);
    const news = unchanged ? {} : { entries };
    this.sentEntries = entries;
    if (renewed) {
      this.grantedAt = now;
      this.send({ kind: 'grant', sentAt, ...news });
    } else {
      this.send({ kind: 'entries', ...news });
    }
  }

  /**
   * Sends a message, together with all others of this turn of the event loop.
   * Closes the stream if the agent has not read those of earlier turns.
   */
  public send(message: LeaderMessage): void {
    if (!this.open) {
      return;
    }
    if (!this.corked && this.output.writableLength > MAXIMUM_UNSENT_BYTES) {
      this.close();
      return;
    }
    this.corkUntilTurnEnds();
    this.output.write(`${JSON.stringify(message)}\n`);
  }

  /** Whether the agent has read enough to be sent further starts. */
  public hasRoomForStarts(): boolean {
    return this.output.writableLength <= MAXIMUM_UNSENT_BYTES_BEFORE_STARTS;
  }

  /** Calls back once when the agent has read all that was sent. */
  public afterDrain(onDrain: () => void): void {
    if (this.waitingForDrain) {
      return;
    }
    this.waitingForDrain = true;
    this.output.once('drain', () => {
      this.waitingForDrain = false;
      onDrain();
    });
  }

  public close(): void {
    this.open = false;
    this.output.destroy();
  }

  private corkUntilTurnEnds(): void {
    if (!this.corked) {
      this.corked = true;
      this.output.cork();
      setImmediate(() => {
        this.corked = false;
        this.output.uncork();
      });
    }
  }
}

function sameEntries(
  entries: readonly string[],
  others: readonly string[] | undefined,
): boolean {
  return (
    entries.length === others?.length &&
    entries.every((entry, position) => entry === others[position])
  );
}
