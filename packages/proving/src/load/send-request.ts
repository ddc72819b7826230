import type { Agent } from 'node:http';
import { request } from 'node:http';

import { splitAddress } from '@basilcourse/foundation/net/split-address';

import type { LoadResult } from './load-result.js';

/** One request of a load. */
export interface LoadRequest {
  readonly address: string;
  readonly path: string;
  readonly body: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly timeoutMilliseconds: number;
  readonly agent: Agent;
}

/** Sends one request and checks that the response echoes its body. */
export function sendRequest(loadRequest: LoadRequest): Promise<LoadResult> {
  const startedAt = performance.now();
  return new Promise(resolve => {
    const finish = (
      outcome: LoadResult['outcome'],
      requestId: string,
    ): void => {
      const milliseconds = performance.now() - startedAt;
      resolve({ outcome, requestId, milliseconds });
    };
    const outgoing = request(
      {
        ...splitAddress(loadRequest.address),
        method: 'POST',
        path: loadRequest.path,
        agent: loadRequest.agent,
        headers: {
          ...loadRequest.headers,
          'content-length': Buffer.byteLength(loadRequest.body),
          'basilcourse-timeout-milliseconds': String(
            loadRequest.timeoutMilliseconds,
          ),
        },
      },
      response => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => {
          finish('broken', '');
        });
        response.on('close', () => {
          const text = Buffer.concat(chunks).toString('utf8');
          const outcome = String(response.headers['basilcourse-outcome'] ?? '');
          const id = String(response.headers['basilcourse-request-id'] ?? '');
          if (!response.complete) {
            finish('broken', id);
          } else if (outcome === 'completed') {
            finish(
              echoesBody(text, loadRequest.body) ? 'completed' : 'crossed',
              id,
            );
          } else {
            finish(outcome === 'not-run' ? 'not-run' : 'unknown', id);
          }
        });
      },
    );
    outgoing.on('error', () => {
      finish('broken', '');
    });
    outgoing.end(loadRequest.body);
  });
}

function echoesBody(responseText: string, body: string): boolean {
  try {
    const parsed = JSON.parse(responseText) as { readonly echo?: unknown };
    return parsed.echo === body;
  } catch {
    return false;
  }
}
