import type { AddressInfo, Server } from 'node:net';

import { splitAddress } from './split-address.js';

/**
 * Starts listening on an address and returns the bound address; port 0 binds a
 * free port.
 */
export async function listenOn(
  server: Server,
  address: string,
): Promise<string> {
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const printedHost = host.includes(':') ? `[${host}]` : host;
  return `${printedHost}:${(server.address() as AddressInfo).port}`;
}
