import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import type { SocketOpener } from '@basilcourse/request-plane/transport/socket-opener';
import type { PlatformWorker } from '@basilcourse/scheduler/platform/platform-worker';
import type { PlatformLog } from '@basilcourse/shared-state/log/platform-log';

import { PartitionableSocket } from './partitionable-socket.js';

/** Links between the regions of a deployment, which can be partitioned. */
export class RegionLinks {
  private readonly regionOf = new Map<string, string>();

  private readonly sockets = new Set<PartitionableSocket>();

  private arePartitioned = false;

  /** Records the region of an address. */
  public registerAddress(address: string, region: string): void {
    this.regionOf.set(address, region);
  }

  /** Separates every region from all others. */
  public partition(): void {
    this.arePartitioned = true;
  }

  /** Ends the partition and delivers the data sent meanwhile. */
  public heal(): void {
    this.arePartitioned = false;
    for (const socket of this.sockets) {
      socket.releaseHeldActions();
    }
  }

  /** Returns the function with which processes of a region open sockets. */
  public socketOpenerOf(region: string): SocketOpener {
    return target => {
      const address = `${target.host}:${target.port}`;
      const socket = new PartitionableSocket(target, () =>
        this.isPartitionedFrom(region, address),
      );
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
      return socket;
    };
  }

  /** Wraps the log so that calls from a region fail across a partition. */
  public logFrom(
    region: string,
    address: string,
    log: PlatformLog,
  ): PlatformLog {
    return {
      append: envelope =>
        this.callAcross('log.append', region, address, () =>
          log.append(envelope),
        ),
      read: (from, maximum) =>
        this.callAcross('log.read', region, address, () =>
          log.read(from, maximum),
        ),
    };
  }

  /** Wraps a worker so that calls from a region fail across a partition. */
  public workerFrom(
    region: string,
    address: string,
    worker: PlatformWorker,
  ): PlatformWorker {
    const call = <Result>(
      step: string,
      action: () => Promise<Result>,
    ): Promise<Result> => this.callAcross(step, region, address, action);
    return {
      sync: command => call('worker.sync', () => worker.sync(command)),
      start: command => call('worker.start', () => worker.start(command)),
      stop: command => call('worker.stop', () => worker.stop(command)),
      throttle: (attempt, share) =>
        call('worker.throttle', () => worker.throttle(attempt, share)),
    };
  }

  private isPartitionedFrom(region: string, address: string): boolean {
    const other = this.regionOf.get(address);
    return this.arePartitioned && other !== undefined && other !== region;
  }

  private async callAcross<Result>(
    step: string,
    region: string,
    address: string,
    action: () => Promise<Result>,
  ): Promise<Result> {
    if (this.isPartitionedFrom(region, address)) {
      throw new PeerUnreachableError(
        step,
        address,
        'the regions are partitioned',
      );
    }
    return action();
  }
}
