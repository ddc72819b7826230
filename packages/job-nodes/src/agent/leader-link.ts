import { request } from 'node:http';

import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { splitAddress } from '@basilcourse/foundation/net/split-address';

import type { AgentMessage } from '../lines/agent-message.js';
import type { LeaderMessage } from '../lines/leader-message.js';
import { readLines } from '../lines/read-lines.js';
import { pause } from '../time/pause.js';
import type { LeaderLinkOptions } from './leader-link-options.js';

const BEAT_MILLISECONDS = 500;

/** A leader that sends nothing for so long is left. */
const SILENT_MILLISECONDS = 1600;

const RETRY_MILLISECONDS = 100;

const MISDIRECTED = 421;

/** Keeps a stream to the leader, wherever it is. */
export class LeaderLink {
  private readonly options: LeaderLinkOptions;

  private send: ((message: AgentMessage) => void) | undefined;

  private endStream: (reason: string) => void = () => undefined;

  private entries: readonly string[] = [];

  private candidate = 0;

  private failures = 0;

  public constructor(options: LeaderLinkOptions) {
    this.options = options;
  }

  /** A stream to the leader is open. */
  public get connected(): boolean {
    return this.send !== undefined;
  }

  /** Sends a message, if a stream is open. */
  public tell(message: AgentMessage): void {
    this.send?.(message);
  }

  /** Ends the present stream, and looks for the leader again. */
  public leave(reason: string): void {
    this.endStream(reason);
  }

  /** Finds the leader and follows it until the process ends. */
  public async run(): Promise<void> {
    let next: string | undefined;
    for (;;) {
      const address = next ?? (await this.nextCandidate());
      next = undefined;
      if (address !== undefined) {
        next = await this.follow(address);
      }
      await pause(next === undefined ? RETRY_MILLISECONDS : 1);
    }
  }

  private async nextCandidate(): Promise<string | undefined> {
    const entries = [
      ...new Set([...this.entries, ...this.options.knownEntries()]),
    ];
    this.candidate += 1;
    if (this.failures > entries.length * 2) {
      this.failures = 0;
      return this.askStore();
    }
    return entries[this.candidate % Math.max(1, entries.length)];
  }

  private async askStore(): Promise<string | undefined> {
    try {
      return await this.options.findLeader();
    } catch (error) {
      this.options.logger.warn('The store does not tell who leads.', {
        reason: messageOf(error),
      });
      return undefined;
    }
  }

  /** Follows one process; returns where the leader is instead, if told. */
  private follow(address: string): Promise<string | undefined> {
    const { host, port } = splitAddress(address);
    const path = `/agent-stream?agent=${encodeURIComponent(this.options.agent)}`;
    return new Promise(resolve => {
      let timer: NodeJS.Timeout | undefined;
      let beat: NodeJS.Timeout | undefined;
      let over = false;
      const call = request({ host, port, path, method: 'POST', agent: false });
      const end = (reason: string, next?: string): void => {
        if (over) {
          return;
        }
        over = true;
        clearTimeout(timer);
        clearInterval(beat);
        this.send = undefined;
        this.failures += 1;
        call.destroy();
        this.options.logger.info('The stream to an entry has ended.', {
          address,
          reason,
          next: next ?? '',
        });
        resolve(next === address ? undefined : next);
      };
      const expectMore = (): void => {
        clearTimeout(timer);
        timer = setTimeout(() => {
          end('silence');
        }, SILENT_MILLISECONDS);
      };
      this.endStream = end;
      expectMore();
      call.on('error', error => {
        end(messageOf(error));
      });
      call.on('response', response => {
        if (response.statusCode === MISDIRECTED) {
          readLines(
            response,
            line => {
              end('it does not lead', leaderAddress(line));
            },
            end,
          );
          return;
        }
        this.failures = 0;
        this.send = message => {
          call.write(`${JSON.stringify(message)}\n`);
        };
        beat = setInterval(() => {
          const sentAt = this.options.time.steady();
          this.tell({ kind: 'beat', sentAt });
        }, BEAT_MILLISECONDS);
        readLines(
          response,
          line => {
            expectMore();
            this.take(line as LeaderMessage);
          },
          end,
        );
      });
      call.flushHeaders();
    });
  }

  private take(message: LeaderMessage): void {
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
