import { Agent, request } from 'node:http';

import { PeerRefusedError } from '@basilcourse/foundation/errors/peer-refused-error';
import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import { splitAddress } from '@basilcourse/foundation/net/split-address';

const OK = 200;

/** Connections to other processes of the system are kept and reused. */
const peerConnections = new Agent({ keepAlive: true, maxSockets: 16 });

/** Posts JSON to another process of the system and returns its answer. */
export function callJson(
  address: string,
  path: string,
  body: unknown,
  timeoutMilliseconds: number,
): Promise<unknown> {
  const { host, port } = splitAddress(address);
  const step = `peer.call ${path}`;
  return new Promise((resolve, reject) => {
    const fail = (error: unknown): void => {
      clearTimeout(timer);
      reject(new PeerUnreachableError(step, address, error));
    };
    const call = request(
      { host, port, path, method: 'POST', agent: peerConnections },
      response => {
        let text = '';
        response.setEncoding('utf8');
        response.on('data', (chunk: string) => {
          text += chunk;
        });
        response.on('error', fail);
        response.on('end', () => {
          clearTimeout(timer);
          const status = response.statusCode ?? 0;
          if (status !== OK) {
            reject(new PeerRefusedError(step, address, status, text));
            return;
          }
          try {
            resolve(JSON.parse(text));
          } catch (error) {
            fail(error);
          }
        });
      },
    );
    const timer = setTimeout(() => {
      call.destroy(new Error(`no answer in ${timeoutMilliseconds} ms`));
    }, timeoutMilliseconds);
    call.on('error', fail);
    call.end(JSON.stringify(body));
  });
}
