import type { Server } from 'node:http';

import { pause } from '../time/pause.js';
import type { TimeSource } from '../time/time-source.js';

const POLL_MILLISECONDS = 50;

/** When a server that stops may do what; on the steady clock. */
export interface StopTimes {
  /** Callers are still sent here until then, so idle connections stay open. */
  readonly closesIdleAt: number;
  /** The process ends then, whoever is connected. */
  readonly endsAt: number;
}

/**
 * Serves on while the process stops: resolves once no caller is connected and
 * none is sent here any more, or once the time to stop is over.
 */
export async function serveUntilIdle(
  server: Server,
  { closesIdleAt, endsAt }: StopTimes,
  time: TimeSource,
): Promise<void> {
  while (time.steady() < endsAt) {
    if (time.steady() >= closesIdleAt) {
      server.closeIdleConnections();
      if ((await countConnections(server)) === 0) {
        return;
      }
    }
    await pause(POLL_MILLISECONDS);
  }
}

function countConnections(server: Server): Promise<number> {
  return new Promise(resolve => {
    server.getConnections((_, count) => {
      resolve(count);
    });
  });
}
