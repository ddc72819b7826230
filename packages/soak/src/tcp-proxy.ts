import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import { listenOn } from '@basilcourse/foundation/net/listen-on';
import { splitAddress } from '@basilcourse/foundation/net/split-address';

/** What a proxy does with the bytes that it gets. */
export type ProxyMode =
  | 'forwards'
  | 'delays'
  | 'drops-requests'
  | 'drops-answers'
  | 'drops-all'
  | 'holds'
  | 'resets';

const DELAY_MILLISECONDS = 300;

/** A proxy on loopback between two peers, whose path it can disturb. */
export class TcpProxy {
  private currentMode: ProxyMode = 'forwards';

  private readonly targetAddress: string;

  private readonly sockets = new Set<Socket>();

  /** What waits until bytes are not held any more, in order. */
  private held: (() => void)[] = [];

  private readonly server: Server;

  public constructor(targetAddress: string) {
    this.targetAddress = targetAddress;
    this.server = createServer(socket => {
      this.accept(socket);
    });
  }

  /** Listens on an address, and returns it with its port. */
  public listen(address: string): Promise<string> {
    return listenOn(this.server, address);
  }

  /**
   * Changes what is done; `resets` also closes the open connections. Bytes that
   * were held are passed on, unless the connections are reset.
   */
  public set mode(mode: ProxyMode) {
    this.currentMode = mode;
    if (mode === 'resets') {
      this.held = [];
      for (const socket of this.sockets) {
        socket.resetAndDestroy();
      }
    } else if (mode !== 'holds') {
      for (const passOn of this.held.splice(0)) {
        passOn();
      }
    }
  }

  /** Closes the proxy and its connections. */
  public close(): void {
    this.server.close();
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  private accept(caller: Socket): void {
    if (this.currentMode === 'resets') {
      caller.resetAndDestroy();
      return;
    }
    const target = connect(splitAddress(this.targetAddress));
    this.join(caller, target, 'drops-requests');
    this.join(target, caller, 'drops-answers');
  }

  private join(from: Socket, to: Socket, dropMode: ProxyMode): void {
    this.sockets.add(from);
    from.on('data', (chunk: Buffer) => {
      if (this.currentMode === dropMode || this.currentMode === 'drops-all') {
        return;
      }
      if (this.currentMode === 'holds') {
        this.held.push(() => {
          to.write(chunk);
        });
        return;
      }
      const delay = this.currentMode === 'delays' ? DELAY_MILLISECONDS : 0;
      setTimeout(() => {
        to.write(chunk);
      }, delay);
    });
    from.on('error', () => {
      this.passCloseOn(to); // A connection that was reset.
    });
    from.on('close', () => {
      this.sockets.delete(from);
      this.passCloseOn(to);
    });
  }

  /** Closes the other side, after the bytes that are held for it. */
  private passCloseOn(to: Socket): void {
    if (this.currentMode === 'holds') {
      this.held.push(() => {
        to.end();
      });
    } else if (this.currentMode !== 'drops-all') {
      to.destroy();
    }
  }
}
