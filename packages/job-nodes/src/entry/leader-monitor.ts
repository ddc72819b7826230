import { request } from 'node:http';

import { connectionRefused } from '@basilcourse/foundation/errors/connection-refused';
import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { splitAddress } from '@basilcourse/foundation/net/split-address';

import { callPeer } from '../http/call-peer.js';
import type { LeaderRecord } from '../leadership/leader-record.js';
import { readLines } from '../lines/read-lines.js';
import { pause } from '../time/pause.js';
import type { LeaderMonitorOptions } from './leader-monitor-options.js';
import type { WatchMessage } from './watch-message.js';

/** A stream on which nothing is received for this long is closed. */
const RECEIVE_TIMEOUT_MILLISECONDS = 1600;

const RETRY_DELAY_MILLISECONDS = 150;

const PROBE_TIMEOUT_MILLISECONDS = 500;

/**
 * Watches the leader's process over an open stream, so that its end is detected
 * at once. Receives leader records and configurations from other entries, also
 * while the store is unreachable.
 */
export class LeaderMonitor {
  private readonly options: LeaderMonitorOptions;

  private nextEntry = 0;

  public constructor(options: LeaderMonitorOptions) {
    this.options = options;
  }

  /** Watches the current leader until this process ends. */
  public async run(): Promise<void> {
    for (;;) {
      const record = this.options.leaderRecord();
      if (record === undefined || record.life === this.options.ownIncarnation) {
        await pause(RETRY_DELAY_MILLISECONDS);
        continue;
      }
      const reason = await this.watch(record.address);
      this.options.logger.info('The watch of the leader has ended.', {
        epoch: record.epoch,
        reason,
      });
      await this.probe(record);
      await this.queryAnotherEntry();
      await pause(RETRY_DELAY_MILLISECONDS);
    }
  }

  private watch(address: string): Promise<string> {
    const { host, port } = splitAddress(address);
    const { ownAddress, ownCores } = this.options;
    const watcher = `address=${encodeURIComponent(ownAddress)}&cores=${ownCores}`;
    const path = `/watch?${watcher}`;
    return new Promise(resolve => {
      let timer: NodeJS.Timeout | undefined;
      const clientRequest = request({
        host,
        port,
        path,
        method: 'POST',
        agent: false,
      });
      const end = (reason: string): void => {
        clearTimeout(timer);
        clientRequest.destroy();
        resolve(reason);
      };
      const restartTimeout = (): void => {
        clearTimeout(timer);
        timer = setTimeout(() => {
          end('silence');
        }, RECEIVE_TIMEOUT_MILLISECONDS);
      };
      restartTimeout();
      clientRequest.on('response', response => {
        readLines(
          response,
          line => {
            restartTimeout();
            this.options.onMessage(line as WatchMessage);
          },
          end,
        );
      });
      clientRequest.on('error', error => {
        end(messageOf(error));
      });
      clientRequest.end();
    });
  }

  private async probe(record: LeaderRecord): Promise<void> {
    try {
      const answer = (await callPeer(
        record.address,
        '/leader',
        {},
        PROBE_TIMEOUT_MILLISECONDS,
      )) as { readonly life: string };
      if (answer.life !== record.life) {
        this.options.onDeparted(record.life);
      }
    } catch (error) {
      if (connectionRefused(error)) {
        this.options.onDeparted(record.life);
      }
    }
  }

  private async queryAnotherEntry(): Promise<void> {
    const entries = this.options
      .otherEntries()
      .filter(address => address !== this.options.ownAddress);
    const address = entries[this.nextEntry % Math.max(1, entries.length)];
    this.nextEntry += 1;
    if (address === undefined) {
      return;
    }
    try {
      const answer = (await callPeer(
        address,
        '/leader',
        {},
        PROBE_TIMEOUT_MILLISECONDS,
      )) as { readonly leader: LeaderRecord | null };
      if (answer.leader !== null) {
        this.options.onMessage({ leader: answer.leader });
      }
    } catch (error) {
      this.options.logger.info('Another entry did not answer.', {
        address,
        reason: messageOf(error),
      });
    }
  }
}
