import type {
  ClientHttp2Session,
  ClientHttp2Stream,
  ClientSessionRequestOptions,
  OutgoingHttpHeaders,
} from 'node:http2';
import { connect } from 'node:http2';

import { splitAddress } from '@basilcourse/foundation/net/split-address';

import type { SocketOpener } from './socket-opener.js';

const IDLE_TIMEOUT_MILLISECONDS = 60_000;

/**
 * The HTTP/2 session to one peer, opened at the first request.
 *
 * Replaces the library's session manager: its sessions may emit an error event
 * without a listener when a peer closes, which ends the process.
 */
export class PeerSession {
  public readonly authority: string;

  private session: ClientHttp2Session | undefined;

  private opening: Promise<ClientHttp2Session> | undefined;

  public constructor(
    private readonly address: string,
    private readonly openSocket: SocketOpener,
  ) {
    this.authority = `http://${address}`;
  }

  public async request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: Omit<ClientSessionRequestOptions, 'signal'>,
  ): Promise<ClientHttp2Stream> {
    const session = await this.open();
    const pseudoHeaders = { ':method': method, ':path': path };
    return session.request({ ...headers, ...pseudoHeaders }, options);
  }

  /**
   * Required by the library. Callers detect unresponsive peers by time-outs.
   */
  public notifyResponseByteRead(): void {
    return undefined;
  }

  /** Closes the session; the next request opens a new one. */
  public reset(): void {
    const { session } = this;
    this.session = undefined;
    this.opening = undefined;
    session?.destroy();
  }

  private open(): Promise<ClientHttp2Session> {
    const { session } = this;
    if (session !== undefined && !session.closed && !session.destroyed) {
      return Promise.resolve(session);
    }
    this.opening ??= this.connect();
    return this.opening;
  }

  private connect(): Promise<ClientHttp2Session> {
    return new Promise((resolve, reject) => {
      const session = connect(this.authority, {
        createConnection: () => this.openSocket(splitAddress(this.address)),
      });
      this.session = undefined;
      session.on('error', (error: Error) => {
        reject(error);
        this.discard(session);
      });
      session.once('close', () => {
        reject(new Error('the session was closed'));
        this.discard(session);
      });
      session.once('goaway', () => {
        this.discard(session);
      });
      session.setTimeout(IDLE_TIMEOUT_MILLISECONDS, () => {
        session.close();
      });
      session.once('connect', () => {
        session.unref();
        this.session = session;
        this.opening = undefined;
        resolve(session);
      });
    });
  }

  private discard(session: ClientHttp2Session): void {
    if (this.session === session || this.session === undefined) {
      this.session = undefined;
      this.opening = undefined;
    }
  }
}
