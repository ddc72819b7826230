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

/** Sends one request as a caller and checks that the answer echoes its body. */
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
      answer => {
        const chunks: Buffer[] = [];
        answer.on('data', (chunk: Buffer) => chunks.push(chunk));
        answer.on('error', () => {
          finish('broken', '');
        });
        answer.on('close', () => {
          const text = Buffer.concat(chunks).toString('utf8');
          const outcome = String(answer.headers['basilcourse-outcome'] ?? '');
          const id = String(answer.headers['basilcourse-request-id'] ?? '');
          if (!answer.complete) {
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

function echoesBody(answer: string, body: string): boolean {
  try {
    const parsed = JSON.parse(answer) as { readonly echo?: unknown };
    return parsed.echo === body;
  } catch {
    return false;
  }
}
