import type { ServerResponse } from 'node:http';

import type { WatchMessage } from './watch-message.js';

/** Entries that watch this one. */
export class WatchStreams {
  private readonly streams = new Map<ServerResponse, string>();

  private readonly greeting: () => WatchMessage;

  /**
   * @param greeting - Returns what a new watcher is told.
   */
  public constructor(greeting: () => WatchMessage) {
    this.greeting = greeting;
  }

  /** Addresses of the watchers. */
  public addresses(): readonly string[] {
    return [...new Set(this.streams.values())];
  }

  /** Takes up a watcher. */
  public add(address: string, response: ServerResponse): void {
    this.streams.set(response, address);
    response.on('close', () => {
      this.streams.delete(response);
    });
    response.on('error', () => {
      this.streams.delete(response);
    });
    write(response, this.greeting());
  }

  /** Tells all watchers; an empty message shows that this process lives. */
  public tell(message: WatchMessage): void {
    for (const response of this.streams.keys()) {
      write(response, message);
    }
  }
}

function write(response: ServerResponse, message: WatchMessage): void {
  response.write(`${JSON.stringify(message)}\n`);
}
