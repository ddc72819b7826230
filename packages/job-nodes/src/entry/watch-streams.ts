import type { ServerResponse } from 'node:http';

import type { WatchMessage } from './watch-message.js';

/** Open streams to the entries that watch this one. */
export class WatchStreams {
  private readonly streams = new Map<ServerResponse, string>();

  private readonly initialMessage: () => WatchMessage;

  /**
   * @param initialMessage - Returns the first message to a new watcher.
   */
  public constructor(initialMessage: () => WatchMessage) {
    this.initialMessage = initialMessage;
  }

  /** Addresses of the watchers. */
  public addresses(): readonly string[] {
    return [...new Set(this.streams.values())];
  }

  /** Adds a watcher and sends it the initial message. */
  public add(address: string, response: ServerResponse): void {
    this.streams.set(response, address);
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
