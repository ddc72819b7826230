import type { Http2Server, ServerHttp2Session } from 'node:http2';
import { createServer } from 'node:http2';
import type { Socket } from 'node:net';

import { closeServer } from '@basilcourse/foundation/net/close-server';
import { listenOn } from '@basilcourse/foundation/net/listen-on';
import type { ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';

import { MAXIMUM_MESSAGE_BYTES } from './peer-transports.js';
import type { SharedKeys } from './shared-keys.js';
import { isValidKey, KEY_FIELD } from './shared-keys.js';

const HTTP_UNAUTHORIZED = 401;

/** Server for the calls of other basilcourse processes. */
export class ControlServer {
  private readonly server: Http2Server;

  private readonly sessions = new Set<ServerHttp2Session>();

  private readonly sockets = new Set<Socket>();

  private closedBytes = 0;

  public constructor(
    keys: SharedKeys,
    routes: (router: ConnectRouter) => void,
  ) {
    const handler = connectNodeAdapter({
      routes,
      readMaxBytes: MAXIMUM_MESSAGE_BYTES,
      writeMaxBytes: MAXIMUM_MESSAGE_BYTES,
    });
    this.server = createServer((incoming, outgoing) => {
      if (!isValidKey(keys, incoming.headers[KEY_FIELD])) {
        outgoing.writeHead(HTTP_UNAUTHORIZED, { 'content-type': 'text/plain' });
        outgoing.end('The key between basilcourse processes is wrong.');
        return;
      }
      handler(incoming, outgoing);
    });
    this.server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => {
        this.sockets.delete(socket);
        this.closedBytes += socket.bytesRead + socket.bytesWritten;
      });
    });
    this.server.on('session', session => {
      this.sessions.add(session);
      session.once('close', () => this.sessions.delete(session));
    });
  }

  /** Total bytes received and sent. */
  public get bytes(): number {
    let sum = this.closedBytes;
    for (const socket of this.sockets) {
      sum += socket.bytesRead + socket.bytesWritten;
    }
    return sum;
  }

  /** Listens and returns the address in use. */
  public listen(address: string): Promise<string> {
    return listenOn(this.server, address);
  }

  /** Stops listening and closes all connections. */
  public async close(): Promise<void> {
    const closed = closeServer(this.server);
    for (const session of this.sessions) {
      session.destroy();
    }
    await closed;
  }
}
