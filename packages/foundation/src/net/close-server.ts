import type { Server } from 'node:net';

/** Stops listening and resolves once all connections have ended. */
export async function closeServer(server: Server): Promise<void> {
  await new Promise<void>(resolve => {
    server.close(() => {
      resolve();
    });
  });
}
