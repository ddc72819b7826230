import type { Interceptor, Transport } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';

import { PeerSession } from './peer-session.js';
import type { SharedKeys } from './shared-keys.js';
import { KEY_FIELD } from './shared-keys.js';
import type { SocketOpener } from './socket-opener.js';

/** Maximum size of a message between processes. */
export const MAXIMUM_MESSAGE_BYTES = 32 * 1024 * 1024;

interface PeerConnection {
  readonly transport: Transport;
  readonly session: PeerSession;
}

/**
 * Connections to other basilcourse processes, one for each address.
 *
 * A peer that disappears without closing its connection is detected by calls
 * that time out; their callers reset the connection.
 */
export class PeerTransports {
  private readonly connections = new Map<string, PeerConnection>();

  public constructor(
    private readonly keys: SharedKeys,
    private readonly openSocket: SocketOpener,
  ) {}

  /** Returns the transport to an IP address and port. */
  public to(address: string): Transport {
    const connection =
      this.connections.get(address) ?? this.createConnection(address);
    this.connections.set(address, connection);
    return connection.transport;
  }

  /** Closes the connection to an address; the next call opens a new one. */
  public reset(address: string): void {
    this.connections.get(address)?.session.reset();
  }

  private createConnection(address: string): PeerConnection {
    const addKey: Interceptor = next => request => {
      request.header.set(KEY_FIELD, this.keys.current);
      return next(request);
    };
    const session = new PeerSession(address, this.openSocket);
    const transport = createConnectTransport({
      baseUrl: session.authority,
      httpVersion: '2',
      useBinaryFormat: true,
      interceptors: [addKey],
      readMaxBytes: MAXIMUM_MESSAGE_BYTES,
      writeMaxBytes: MAXIMUM_MESSAGE_BYTES,
      sessionManager: session,
    });
    return { transport, session };
  }
}
