import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

import { messageOf } from '../errors/message-of.js';
import { closeServer } from '../net/close-server.js';
import { listenOn } from '../net/listen-on.js';
import type { JsonRequest } from './json-request.js';
import type { JsonResponse } from './json-response.js';

/** Route handlers, keyed by `METHOD /path`. */
export type JsonRoutes = Readonly<
  Record<string, (request: JsonRequest) => Promise<JsonResponse> | JsonResponse>
>;

const MAXIMUM_BODY_BYTES = 32 * 1024 * 1024;

async function readBody(incoming: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of incoming) {
    const buffer = chunk as Buffer;
    bytes += buffer.length;
    if (bytes > MAXIMUM_BODY_BYTES) {
      throw new Error('body too large');
    }
    chunks.push(buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function writeResponse(outgoing: ServerResponse, response: JsonResponse): void {
  const isText = response.contentType !== undefined;
  const text = isText
    ? String(response.body)
    : JSON.stringify(response.body ?? null);
  outgoing.writeHead(response.status, {
    'content-type': response.contentType ?? 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  outgoing.end(text);
}

async function handleRequest(
  routes: JsonRoutes,
  incoming: IncomingMessage,
): Promise<JsonResponse> {
  const url = new URL(incoming.url ?? '/', 'http://localhost');
  const handler = routes[`${incoming.method ?? ''} ${url.pathname}`];
  if (handler === undefined) {
    return { status: 404, body: { error: `no route ${url.pathname}` } };
  }
  let body: unknown;
  try {
    const text = await readBody(incoming);
    body = text === '' ? undefined : JSON.parse(text);
  } catch (error) {
    return { status: 400, body: { error: messageOf(error) } };
  }
  return handler({ query: url.searchParams, body });
}

/** An HTTP server whose routes accept and return JSON. */
export class JsonServer {
  private readonly server: Server;

  public constructor(routes: JsonRoutes) {
    this.server = createServer((incoming, outgoing) => {
      handleRequest(routes, incoming)
        .catch((error: unknown) => ({
          status: 500,
          body: { error: messageOf(error) },
        }))
        .then(
          response => {
            writeResponse(outgoing, response);
          },
          () => outgoing.destroy(),
        );
    });
  }

  /**
   * Starts listening and returns the bound address; port 0 binds a free port.
   */
  public listen(address: string): Promise<string> {
    return listenOn(this.server, address);
  }

  /** Stops listening and closes all connections, including active ones. */
  public async close(): Promise<void> {
    this.server.closeAllConnections();
    await closeServer(this.server);
  }
}
