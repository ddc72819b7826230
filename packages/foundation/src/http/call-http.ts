import { request } from 'node:http';

import { PeerUnreachableError } from '../errors/peer-unreachable-error.js';
import { splitAddress } from '../net/split-address.js';
import type { HttpCall } from './http-call.js';
import type { HttpResponse } from './http-response.js';

/** Maximum size of a response body; a larger response fails the call. */
const MAXIMUM_RESPONSE_BYTES = 64 * 1024 * 1024;

/**
 * Makes one HTTP call and returns the complete response.
 *
 * @throws PeerUnreachableError when no complete response arrives before the
 * timeout; the connection is then closed and not reused.
 */
export function callHttp(call: HttpCall): Promise<HttpResponse> {
  const { step, address, timeoutMilliseconds } = call;
  return new Promise((resolve, reject) => {
    const fail = (error: unknown): void => {
      clearTimeout(timer);
      reject(new PeerUnreachableError(step, address, error));
    };
    const outgoing = request(
      {
        ...splitAddress(address),
        method: call.method,
        path: call.path,
        headers: {
          'content-length': call.body?.length ?? 0,
          ...call.headers,
        },
        ...(call.agent === undefined ? {} : { agent: call.agent }),
      },
      response => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        response.on('data', (chunk: Buffer) => {
          bytes += chunk.length;
          chunks.push(chunk);
          if (bytes > MAXIMUM_RESPONSE_BYTES) {
            response.destroy(new Error('answer too large'));
          }
        });
        response.on('error', fail);
        response.on('end', () => {
          clearTimeout(timer);
          const status = response.statusCode ?? 0;
          resolve({ status, body: Buffer.concat(chunks) });
        });
      },
    );
    const timer = setTimeout(() => {
      outgoing.destroy(new Error(`no answer in ${timeoutMilliseconds} ms`));
    }, timeoutMilliseconds);
    outgoing.on('error', fail);
    outgoing.end(call.body);
  });
}
