import { request } from 'node:http';

import { PeerUnreachableError } from '../errors/peer-unreachable-error.js';
import { splitAddress } from '../net/split-address.js';
import type { HttpAnswer } from './http-answer.js';
import type { HttpExchange } from './http-exchange.js';

/** Largest answer accepted, in bytes. */
const MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;

/**
 * Makes one call and returns its whole answer.
 *
 * @throws PeerUnreachableError when no whole answer arrived in time; the
 * connection is not used again.
 */
export function exchange(call: HttpExchange): Promise<HttpAnswer> {
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
      answer => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        answer.on('data', (chunk: Buffer) => {
          bytes += chunk.length;
          chunks.push(chunk);
          if (bytes > MAXIMUM_ANSWER_BYTES) {
            answer.destroy(new Error('answer too large'));
          }
        });
        answer.on('error', fail);
        answer.on('end', () => {
          clearTimeout(timer);
          const status = answer.statusCode ?? 0;
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
