import type { Server } from 'node:http';

import { pause } from '../time/pause.js';
import type { TimeSource } from '../time/time-source.js';

const POLL_INTERVAL_MILLISECONDS = 50;

/** Deadlines of a server that shuts down, in monotonic milliseconds. */
export interface ShutdownDeadlines {
  /** Until then callers are routed here, so that idle connections stay open. */
  readonly closesIdleAt: number;
  /** The process ends then, even with open connections. */
  readonly endsAt: number;
}

/**
 * Continues to serve while the process shuts down: resolves once no caller is
 * connected and none is routed here any more, or when the process must end.
 */
export async function serveUntilIdle(
  server: Server,
  { closesIdleAt, endsAt }: ShutdownDeadlines,
  time: TimeSource,
): Promise<void> {
  while (time.steady() < endsAt) {
    if (time.steady() >= closesIdleAt) {
      server.closeIdleConnections();
      if ((await countConnections(server)) === 0) {
        return;
      }
    }
    await pause(POLL_INTERVAL_MILLISECONDS);
  }
}

function countConnections(server: Server): Promise<number> {
  return new Promise(resolve => {
    server.getConnections((_, count) => {
      resolve(count);
    });
  });
}
