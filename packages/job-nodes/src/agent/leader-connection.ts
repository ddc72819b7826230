import { request } from 'node:http';

import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { splitAddress } from '@basilcourse/foundation/net/split-address';

import type { AgentMessage } from '../lines/agent-message.js';
import type { LeaderMessage } from '../lines/leader-message.js';
import { readLines } from '../lines/read-lines.js';
import { ReportEncoder } from '../lines/report-encoder.js';
import { pause } from '../time/pause.js';
import type { LeaderConnectionOptions } from './leader-connection-options.js';

const HEARTBEAT_INTERVAL_MILLISECONDS = 500;

/** A stream on which nothing is received for this long is closed. */
const RECEIVE_TIMEOUT_MILLISECONDS = 1600;

const RETRY_DELAY_MILLISECONDS = 100;

const MISDIRECTED_STATUS = 421;

/** Keeps a stream open to the entry that is the leader. */
export class LeaderConnection {
  private readonly options: LeaderConnectionOptions;

  private writeMessage: ((message: AgentMessage) => void) | undefined;

  private endStream: (reason: string, next?: string) => void = () => undefined;

  /** Address of the entry that the stream leads to; undefined without one. */
  private connectedAddress: string | undefined;

  /** Addresses of entries that the leader last sent. */
  private entries: readonly string[] = [];

  private candidateIndex = 0;

  /** Encodes the reports of the current stream, if the leader reads deltas. */
  private encoder: ReportEncoder | undefined;

  /** Streams that ended since the last one that the leader accepted. */
  private endedStreams = 0;

  public constructor(options: LeaderConnectionOptions) {
    this.options = options;
  }

  /** Whether a stream to the leader is open. */
  public get connected(): boolean {
    return this.writeMessage !== undefined;
  }

  /** Sends a message, if a stream is open. */
  public send(message: AgentMessage): void {
    this.writeMessage?.(this.encode(message));
  }

  /** Ends the current stream and searches for the leader again. */
  public disconnect(reason: string): void {
    this.endStream(reason);
  }

  /** Ends the current stream and opens another one to the same leader. */
  public reconnect(reason: string): void {
    this.endStream(reason, this.connectedAddress);
  }

  /** Keeps a stream to the current leader until the process ends. */
  public async run(): Promise<void> {
    let reportedLeader: string | undefined;
    for (;;) {
      const address = reportedLeader ?? (await this.nextCandidate());
      reportedLeader = undefined;
      if (address !== undefined) {
        reportedLeader = await this.connect(address);
      }
      await pause(reportedLeader === undefined ? RETRY_DELAY_MILLISECONDS : 1);
    }
  }

  private async nextCandidate(): Promise<string | undefined> {
    const entries = [
      ...new Set([...this.entries, ...this.options.configuredEntries()]),
    ];
    this.candidateIndex += 1;
    if (this.endedStreams > entries.length * 2) {
      this.endedStreams = 0;
      return this.findLeaderInStore();
    }
    return entries[this.candidateIndex % Math.max(1, entries.length)];
  }

  private async findLeaderInStore(): Promise<string | undefined> {
    try {
      return await this.options.findLeader();
    } catch (error) {
      this.options.logger.warn('The store does not tell who leads.', {
        reason: messageOf(error),
      });
      return undefined;
    }
  }

  /**
   * Keeps a stream to one entry until it ends; resolves with the leader's
   * address if the entry reports another leader.
   */
  private connect(address: string): Promise<string | undefined> {
    const { host, port } = splitAddress(address);
    const agent = encodeURIComponent(this.options.agent);
    const path = `/agent-stream?agent=${agent}&compact=1`;
    this.encoder = undefined;
    return new Promise(resolve => {
      let timer: NodeJS.Timeout | undefined;
      let heartbeat: NodeJS.Timeout | undefined;
      let ended = false;
      const clientRequest = request({
        host,
        port,
        path,
        method: 'POST',
        agent: false,
      });
      const end = (reason: string, reportedLeader?: string): void => {
        if (ended) {
          return;
        }
        ended = true;
        clearTimeout(timer);
        clearInterval(heartbeat);
        this.writeMessage = undefined;
        this.connectedAddress = undefined;
        this.endedStreams += 1;
        clientRequest.destroy();
        this.options.logger.info('The stream to an entry has ended.', {
          address,
          reason,
          next: reportedLeader ?? '',
        });
        resolve(reportedLeader);
      };
      const restartTimeout = (): void => {
        clearTimeout(timer);
        timer = setTimeout(() => {
          end('silence');
        }, RECEIVE_TIMEOUT_MILLISECONDS);
      };
      this.endStream = end;
      restartTimeout();
      clientRequest.on('error', error => {
        end(messageOf(error));
      });
      clientRequest.on('response', response => {
        if (response.statusCode === MISDIRECTED_STATUS) {
          readLines(
            response,
            line => {
              const leader = leaderAddress(line);
              const next = leader === address ? undefined : leader;
              end('the entry is not the leader', next);
            },
            end,
          );
          return;
        }
        this.endedStreams = 0;
        this.connectedAddress = address;
        this.writeMessage = message => {
          clientRequest.write(`${JSON.stringify(message)}\n`);
        };
        heartbeat = setInterval(() => {
          const sentAt = this.options.time.steady();
          this.send({ kind: 'beat', sentAt });
        }, HEARTBEAT_INTERVAL_MILLISECONDS);
        readLines(
          response,
          line => {
            restartTimeout();
            this.handleMessage(line as LeaderMessage);
          },
          end,
        );
      });
      clientRequest.flushHeaders();
    });
  }

  private handleMessage(message: LeaderMessage): void {
    if (message.kind === 'grant' || message.kind === 'entries') {
      this.entries = message.entries ?? this.entries;
    }
    if (message.kind === 'welcome') {
      this.encoder =
        message.readsDeltas === true ? new ReportEncoder() : undefined;
    }
    this.options.onMessage(message);
  }

  private encode(message: AgentMessage): AgentMessage {
    if (message.kind !== 'report' || this.encoder === undefined) {
      return message;
    }
    const { sentAt, report } = message;
    const delta = this.encoder.encode(report, sentAt);
    return { kind: 'delta', sentAt, delta };
  }
}

function leaderAddress(line: unknown): string | undefined {
  const { leader } = line as {
    readonly leader: { readonly address: string } | null;
  };
  return leader?.address;
}
