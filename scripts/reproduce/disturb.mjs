/** What can be done to a stand-in of a minion from outside. */
import { request } from 'node:http';

import { pause } from '../../review/deployment.mjs';

/** Sends a request to the address for the heartbeats of a minion. */
export function tellAgent(minion, method, identifier, body) {
  const [host, port] = minion.options.heartbeatAddress.split(':');
  const path = `/-/instances/${identifier}`;
  return new Promise(resolve => {
    const outgoing = request({ host, port, method, path }, response => {
      response.resume();
      resolve(response.statusCode);
    });
    outgoing.on('error', () => {
      resolve(0);
    });
    outgoing.end(body);
  });
}

/** Closes the port of a minion for a time; its runs go on. */
export async function refuse(minion, milliseconds) {
  const [host, port] = minion.address.split(':');
  minion.server.close();
  minion.connections.forEach(socket => {
    socket.destroy();
  });
  await pause(milliseconds);
  await new Promise(resolve => {
    minion.server.listen(Number(port), host, resolve);
  });
}
