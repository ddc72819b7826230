import { randomInt } from 'node:crypto';
import { createServer } from 'node:net';

/**
 * Start of a range below the system's ephemeral ports, which outgoing
 * connections may occupy at any time.
 */
const MINIMUM_PORT = 18_000;

const MAXIMUM_PORT = 30_000;

function isFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

/** Finds a free TCP port on loopback outside the ephemeral range. */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = randomInt(MINIMUM_PORT, MAXIMUM_PORT);
    if (await isFree(port)) {
      return port;
    }
  }
}
