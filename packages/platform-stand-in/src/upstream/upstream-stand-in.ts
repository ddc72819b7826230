import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

import { closeServer } from '@basilcourse/foundation/net/close-server';
import { listenOn } from '@basilcourse/foundation/net/listen-on';
import type { RandomSource } from '@basilcourse/foundation/random/random-source';

import { readBody } from '../http/read-body.js';
import type { RequestRecorder } from './request-recorder.js';
import type { UpstreamBehaviour } from './upstream-behaviour.js';

const HTTP_SERVICE_UNAVAILABLE = 503;

function headerOf(incoming: IncomingMessage, name: string): string {
  const value = incoming.headers[name];
  return typeof value === 'string' ? value : '';
}

/**
 * A stand-in for one minion of a service: an HTTP server that echoes the body
 * of each request after a simulated service time.
 */
export class UpstreamStandIn {
  private readonly server: Server;

  private running = 0;

  private maximumRunning = 0;

  private arrivalsAboveSlots = 0;

  private arrivalCount = 0;

  private readonly idleListeners: (() => void)[] = [];

  public constructor(
    public readonly name: string,
    private readonly slots: number,
    private readonly behaviour: UpstreamBehaviour,
    private readonly recorder: RequestRecorder,
    private readonly random: RandomSource,
  ) {
    this.server = createServer((incoming, outgoing) => {
      this.serve(incoming, outgoing).catch(() => outgoing.destroy());
    });
  }

  /** Largest number of requests that ran concurrently. */
  public get maximumConcurrentRequests(): number {
    return this.maximumRunning;
  }

  /** Number of requests that arrived while all slots were in use. */
  public get requestsAboveSlots(): number {
    return this.arrivalsAboveSlots;
  }

  /** Number of requests received. */
  public get receivedRequests(): number {
    return this.arrivalCount;
  }

  public get runningRequests(): number {
    return this.running;
  }

  public listen(address = '127.0.0.1:0'): Promise<string> {
    return listenOn(this.server, address);
  }

  /** Closes all connections immediately, as when the process is killed. */
  public async kill(): Promise<void> {
    this.server.closeAllConnections();
    await closeServer(this.server);
  }

  /** Calls the listener once no request is running. */
  public whenIdle(listener: () => void): void {
    if (this.running === 0) {
      listener();
    } else {
      this.idleListeners.push(listener);
    }
  }

  private async serve(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const body = await readBody(incoming);
    this.recorder.recordRun(
      headerOf(incoming, 'basilcourse-request-id'),
      headerOf(incoming, 'idempotency-key'),
      headerOf(incoming, 'basilcourse-unrepeatable') === 'true',
    );
    this.arrivalCount += 1;
    this.running += 1;
    this.maximumRunning = Math.max(this.maximumRunning, this.running);
    if (this.running > this.slots) {
      this.arrivalsAboveSlots += 1;
    }
    try {
      await this.processRequest(incoming, outgoing, body);
    } finally {
      this.running -= 1;
      if (this.running === 0) {
        for (const listener of this.idleListeners.splice(0)) {
          listener();
        }
      }
    }
  }

  private async processRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    body: Buffer,
  ): Promise<void> {
    const { serviceMilliseconds, slowdownFactor } = this.behaviour;
    const duration = serviceMilliseconds() * slowdownFactor();
    const disconnected = new Promise<boolean>(resolve => {
      const timer = setTimeout(() => {
        resolve(false);
      }, duration);
      outgoing.once('close', () => {
        clearTimeout(timer);
        resolve(true);
      });
    });
    if (await disconnected) {
      return;
    }
    const content = Buffer.from(
      JSON.stringify({
        minion: this.name,
        path: incoming.url,
        echo: body.toString('utf8'),
      }),
    );
    this.sendResponse(outgoing, content);
  }

  private sendResponse(outgoing: ServerResponse, content: Buffer): void {
    const failed = this.random.next() < this.behaviour.failedResponseShare;
    const truncated =
      this.random.next() < this.behaviour.truncatedResponseShare;
    const status = failed ? HTTP_SERVICE_UNAVAILABLE : 200;
    outgoing.writeHead(status, {
      'content-type': 'application/json',
      'content-length': content.length,
    });
    if (truncated) {
      outgoing.write(content.subarray(0, content.length / 2));
      setImmediate(() => outgoing.destroy());
      return;
    }
    outgoing.end(content);
  }
}
