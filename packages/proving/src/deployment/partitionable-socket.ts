import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { Duplex } from 'node:stream';

type WriteCallback = (error?: Error | null) => void;

/**
 * A connection over a link that can be partitioned.
 *
 * During a partition, no data passes in either direction and no call fails. As
 * over TCP, the data sent meanwhile is delivered once the partition has ended.
 */
export class PartitionableSocket extends Duplex {
  private readonly heldActions: (() => void)[] = [];

  private readonly socket: Socket;

  public constructor(
    target: { readonly host: string; readonly port: number },
    private readonly isPartitioned: () => boolean,
  ) {
    super();
    this.socket = connect(target);
    this.socket.on('connect', () => {
      this.emit('connect');
    });
    this.socket.on('data', (chunk: Buffer) => {
      this.holdWhilePartitioned(() => this.push(chunk));
    });
    this.socket.on('end', () => {
      this.holdWhilePartitioned(() => this.push(null));
    });
    this.socket.on('error', (error: Error) => {
      this.holdWhilePartitioned(() => this.destroy(error));
    });
    this.socket.on('close', () => {
      this.holdWhilePartitioned(() => this.destroy());
    });
  }

  /** Runs the actions that were held during a partition. */
  public releaseHeldActions(): void {
    for (const action of this.heldActions.splice(0)) {
      action();
    }
  }

  public override _read(): void {
    return undefined;
  }

  public override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: WriteCallback,
  ): void {
    this.holdWhilePartitioned(() => this.socket.write(chunk, callback));
  }

  public override _final(callback: WriteCallback): void {
    this.holdWhilePartitioned(() => this.socket.end(callback));
  }

  public override _destroy(error: Error | null, callback: WriteCallback): void {
    this.socket.destroy();
    callback(error);
  }

  private holdWhilePartitioned(action: () => void): void {
    if (this.isPartitioned() || this.heldActions.length > 0) {
      this.heldActions.push(action);
    } else {
      action();
    }
  }
}
