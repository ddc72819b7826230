import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import { listenOn } from '@basilcourse/foundation/net/listen-on';
import { splitAddress } from '@basilcourse/foundation/net/split-address';

/** What a proxy does with the bytes that it gets. */
export type ProxyMode =
  'forwards' | 'delays' | 'drops-requests' | 'drops-answers' | 'resets';

const DELAY_MILLISECONDS = 300;

/** A proxy on loopback between two peers, whose path it can disturb. */
export class TcpProxy {
  private currentMode: ProxyMode = 'forwards';

  private readonly targetAddress: string;

  private readonly sockets = new Set<Socket>();

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

  /** Changes what is done; `resets` also closes the open connections. */
  public set mode(mode: ProxyMode) {
    this.currentMode = mode;
    if (mode === 'resets') {
      for (const socket of this.sockets) {
        socket.resetAndDestroy();
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
      if (this.currentMode === dropMode) {
        return;
      }
      const delay = this.currentMode === 'delays' ? DELAY_MILLISECONDS : 0;
      setTimeout(() => {
        to.write(chunk);
      }, delay);
    });
    from.on('error', () => {
      to.destroy(); // The other side of a connection that was reset.
    });
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }
}
