import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Duplex } from 'node:stream';

import type { Clock } from '@basilcourse/foundation/clock/clock';
import type { EventRecorder } from '@basilcourse/foundation/events/event-recorder';
import type { IdentifierSource } from '@basilcourse/foundation/identifiers/identifier-source';
import { closeServer } from '@basilcourse/foundation/net/close-server';
import { listenOn } from '@basilcourse/foundation/net/listen-on';
import type { Service } from '@basilcourse/shared-state/release-note/service';
import * as Effect from 'effect/Effect';

import { notRunOutcome } from '../outcome/outcomes.js';
import type { RunOutcome } from '../outcome/run-outcome.js';
import type { CallerRequest } from './caller-request.js';
import { describeOutcome } from './describe-outcome.js';
import { readBody } from './read-body.js';
import { MAXIMUM_BODY_BYTES, readRequestHead } from './read-caller-request.js';
import type { RequestDispatcher } from './request-dispatcher.js';
import type { RequestObserver } from './request-observer.js';
import { writeBadRequest } from './write-bad-request.js';
import { writeOutcome } from './write-outcome.js';

const MAXIMUM_HEAD_BYTES = 16 * 1024;

/** Maximum number of requests in flight at one entry. */
const MAXIMUM_IN_FLIGHT = 4096;

/** Time within which a caller must send its complete request. */
const RECEIVE_TIMEOUT_MILLISECONDS = 30_000;

const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 30_000;

/** Dependencies of the caller server. */
interface CallerServerDependencies {
  readonly dispatcher: Pick<RequestDispatcher, 'dispatch'>;
  readonly services: () => ReadonlyMap<string, Service>;
  readonly clock: Clock;
  readonly identifiers: IdentifierSource;
  readonly events: EventRecorder;
  readonly observer: RequestObserver;
}

/** The HTTP server that an entry's callers send their requests to. */
export class CallerServer {
  private readonly server: Server;

  private inFlight = 0;

  /** Whether each connection is closed after its next answer. */
  private leaving = false;

  /** Whether new requests are refused. */
  private refusesRequests = false;

  private readonly idleListeners: (() => void)[] = [];

  public constructor(private readonly dependencies: CallerServerDependencies) {
    this.server = createServer(
      {
        maxHeaderSize: MAXIMUM_HEAD_BYTES,
        requestTimeout: RECEIVE_TIMEOUT_MILLISECONDS,
        headersTimeout: RECEIVE_TIMEOUT_MILLISECONDS,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
      },
      (incoming, outgoing) => {
        this.serve(incoming, outgoing).catch(() => outgoing.destroy());
      },
    );
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.refuseMalformed(error, socket);
    });
  }

  public get requestsInFlight(): number {
    return this.inFlight;
  }

  /** Listens and returns the address in use. */
  public listen(address: string): Promise<string> {
    return listenOn(this.server, address);
  }

  /** Whether the load balancer should stop sending requests to this entry. */
  public get isLeaving(): boolean {
    return this.leaving;
  }

  /**
   * Continues to serve for the notice period, but closes each connection after
   * its next answer.
   *
   * @param noticeMilliseconds - Time for the load balancer and the callers to
   * switch to other entries.
   */
  public async startLeaving(noticeMilliseconds: number): Promise<void> {
    this.leaving = true;
    await new Promise(resolve => setTimeout(resolve, noticeMilliseconds));
  }

  /** Refuses new requests, and resolves once those in flight are answered. */
  public async drain(): Promise<void> {
    this.leaving = true;
    this.refusesRequests = true;
    if (this.inFlight > 0) {
      await new Promise<void>(resolve => {
        this.idleListeners.push(resolve);
      });
    }
  }

  public async close(): Promise<void> {
    const closed = closeServer(this.server);
    this.server.closeAllConnections();
    await closed;
  }

  private async serve(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    this.inFlight += 1;
    // A request is in flight until its answer is sent or its caller
    // disconnects.
    outgoing.once('close', () => {
      this.requestEnded();
    });
    await this.receive(incoming, outgoing);
  }

  private async receive(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const { identifiers, clock, services, observer } = this.dependencies;
    const head = readRequestHead({
      requestId: identifiers.next('request'),
      method: incoming.method ?? 'GET',
      url: incoming.url ?? '/',
      rawHeaders: incoming.rawHeaders,
      services: services(),
      arrivedAt: clock.now(),
    });
    if (head.kind === 'bad') {
      observer.refused(head.bad.status);
      writeBadRequest(outgoing, head.bad);
      return;
    }
    const body = await readBody(incoming);
    if (body === undefined) {
      const reason = `the body is larger than ${MAXIMUM_BODY_BYTES} bytes`;
      observer.refused(413);
      writeBadRequest(outgoing, { status: 413, reason });
      return;
    }
    await this.answer({ ...head.request, body }, outgoing);
  }

  private async answer(
    request: CallerRequest,
    outgoing: ServerResponse,
  ): Promise<void> {
    const { clock, observer, events } = this.dependencies;
    const { requestId } = request;
    const controller = new AbortController();
    outgoing.once('close', () => {
      // After a complete answer there is nothing to abort, and an abort is
      // costly.
      if (!outgoing.writableFinished) {
        controller.abort();
      }
    });
    const text = `${request.method} ${request.service}${request.path}.`;
    events.record('request-accepted', text, { request: requestId });
    const { signal } = controller;
    const work = this.outcomeOf(request);
    const outcome = await Effect.runPromise(work, { signal });
    const duration = clock.now() - request.arrivedAt;
    observer.ended(request, outcome, duration);
    const description = describeOutcome(outcome, duration);
    events.record('request-ended', description, { request: requestId });
    this.write(outgoing, requestId, outcome);
  }

  private outcomeOf(request: CallerRequest): Effect.Effect<RunOutcome> {
    if (this.refusesRequests) {
      const reason = 'the entry is stopping';
      return Effect.succeed(notRunOutcome('entry.accept', 'local', reason));
    }
    if (this.inFlight > MAXIMUM_IN_FLIGHT) {
      const reason = 'the entry holds too many requests';
      return Effect.succeed(notRunOutcome('entry.accept', 'local', reason));
    }
    return this.dependencies.dispatcher.dispatch(request);
  }

  private write(
    outgoing: ServerResponse,
    requestId: string,
    outcome: RunOutcome,
  ): void {
    if (this.leaving) {
      outgoing.setHeader('connection', 'close');
    }
    writeOutcome(outgoing, requestId, outcome);
  }

  private requestEnded(): void {
    this.inFlight -= 1;
    if (this.inFlight === 0) {
      for (const listener of this.idleListeners.splice(0)) {
        listener();
      }
    }
  }

  private refuseMalformed(error: NodeJS.ErrnoException, socket: Duplex): void {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const isHeadTooLarge = error.code === 'HPE_HEADER_OVERFLOW';
    const status = isHeadTooLarge
      ? '431 Request Header Fields Too Large'
      : '400 Bad Request';
    this.dependencies.observer.refused(isHeadTooLarge ? 431 : 400);
    socket.end(
      `HTTP/1.1 ${status}\r\nBasilcourse-Outcome: not-run\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  }
}
