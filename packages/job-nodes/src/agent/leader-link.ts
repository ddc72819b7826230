import { request } from 'node:http';

import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { splitAddress } from '@basilcourse/foundation/net/split-address';

import type { AgentMessage } from '../lines/agent-message.js';
import type { LeaderMessage } from '../lines/leader-message.js';
import { readLines } from '../lines/read-lines.js';
import { pause } from '../time/pause.js';
import type { LeaderLinkOptions } from './leader-link-options.js';

const HEARTBEAT_INTERVAL_MILLISECONDS = 500;

/** The stream to a leader that sends nothing for this long is closed. */
const SILENCE_TIMEOUT_MILLISECONDS = 1600;

const RETRY_DELAY_MILLISECONDS = 100;

const MISDIRECTED_STATUS = 421;

/** Keeps a stream open to the leader, whichever entry it is. */
export class LeaderLink {
  private readonly options: LeaderLinkOptions;

  private writeMessage: ((message: AgentMessage) => void) | undefined;

  private endStream: (reason: string) => void = () => undefined;

  private entries: readonly string[] = [];

  private candidate = 0;

  private failures = 0;

  public constructor(options: LeaderLinkOptions) {
    this.options = options;
  }

  /** Whether a stream to the leader is open. */
  public get connected(): boolean {
    return this.writeMessage !== undefined;
  }

  /** Sends a message, if a stream is open. */
  public send(message: AgentMessage): void {
    this.writeMessage?.(message);
  }

  /** Ends the current stream and searches for the leader again. */
  public disconnect(reason: string): void {
    this.endStream(reason);
  }

  /** Keeps a stream to the current leader until the process ends. */
  public async run(): Promise<void> {
    let next: string | undefined;
    for (;;) {
      const address = next ?? (await this.nextCandidate());
      next = undefined;
      if (address !== undefined) {
        next = await this.connect(address);
      }
      await pause(next === undefined ? RETRY_DELAY_MILLISECONDS : 1);
    }
  }

  private async nextCandidate(): Promise<string | undefined> {
    const entries = [
      ...new Set([...this.entries, ...this.options.configuredEntries()]),
    ];
    this.candidate += 1;
    if (this.failures > entries.length * 2) {
      this.failures = 0;
      return this.findLeaderInStore();
    }
    return entries[this.candidate % Math.max(1, entries.length)];
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
   * Keeps a stream to one process until it ends; resolves with the leader's
   * address if the process reports another leader.
   */
  private connect(address: string): Promise<string | undefined> {
    const { host, port } = splitAddress(address);
    const path = `/agent-stream?agent=${encodeURIComponent(this.options.agent)}`;
    return new Promise(resolve => {
      let timer: NodeJS.Timeout | undefined;
      let heartbeat: NodeJS.Timeout | undefined;
      let ended = false;
      const call = request({ host, port, path, method: 'POST', agent: false });
      const end = (reason: string, next?: string): void => {
        if (ended) {
          return;
        }
        ended = true;
        clearTimeout(timer);
        clearInterval(heartbeat);
        this.writeMessage = undefined;
        this.failures += 1;
        call.destroy();
        this.options.logger.info('The stream to an entry has ended.', {
          address,
          reason,
          next: next ?? '',
        });
        resolve(next === address ? undefined : next);
      };
      const restartTimeout = (): void => {
        clearTimeout(timer);
        timer = setTimeout(() => {
          end('silence');
        }, SILENCE_TIMEOUT_MILLISECONDS);
      };
      this.endStream = end;
      restartTimeout();
      call.on('error', error => {
        end(messageOf(error));
      });
      call.on('response', response => {
        if (response.statusCode === MISDIRECTED_STATUS) {
          readLines(
            response,
            line => {
              end('the entry is not the leader', leaderAddress(line));
            },
            end,
          );
          return;
        }
        this.failures = 0;
        this.writeMessage = message => {
          call.write(`${JSON.stringify(message)}\n`);
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
      call.flushHeaders();
    });
  }

  private handleMessage(message: LeaderMessage): void {
    if (message.kind === 'grant') {
      this.entries = message.entries;
    }
    this.options.onMessage(message);
  }
}

function leaderAddress(line: unknown): string | undefined {
  const { leader } = line as {
    readonly leader: { readonly address: string } | null;
  };
  return leader?.address;
}
