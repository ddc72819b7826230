import type { ServerResponse } from 'node:http';

import type { WatchMessage } from './watch-message.js';

/** An entry that watches this one. */
interface Watcher {
  readonly address: string;
  /** Processor time that it can use, in cores; 0 if it is not known. */
  readonly cores: number;
}

/** Open streams to the entries that watch this one. */
export class WatchStreams {
  private readonly streams = new Map<ServerResponse, Watcher>();

  private readonly initialMessage: () => WatchMessage;

  /**
   * @param initialMessage - Returns the first message to a new watcher.
   */
  public constructor(initialMessage: () => WatchMessage) {
    this.initialMessage = initialMessage;
  }

  /** Addresses of the watchers. */
  public addresses(): readonly string[] {
    return [
      ...new Set([...this.streams.values()].map(({ address }) => address)),
    ];
  }

  /** The most processor time that a watcher can use, in cores; 0 for none. */
  public mostCores(): number {
    return Math.max(0, ...[...this.streams.values()].map(({ cores }) => cores));
  }

  /** Adds a watcher and sends it the initial message. */
  public add(watcher: Watcher, response: ServerResponse): void {
    this.streams.set(response, watcher);
    response.on('close', () => {
      this.streams.delete(response);
    });
    response.on('error', () => {
      this.streams.delete(response);
    });
    write(response, this.initialMessage());
  }

  /** Sends a message to all watchers; an empty one serves as a heartbeat. */
  public broadcast(message: WatchMessage): void {
    for (const response of this.streams.keys()) {
      write(response, message);
    }
  }
}

function write(response: ServerResponse, message: WatchMessage): void {
  response.write(`${JSON.stringify(message)}\n`);
}
