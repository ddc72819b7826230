import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

import { callHttp } from '@basilcourse/foundation/http/call-http';
import { listenOn } from '@basilcourse/foundation/net/listen-on';

import { readBody } from '../http/read-body.js';
import { pause } from '../time/pause.js';
import { LateCalls } from './late-calls.js';
import type { MinionEvent } from './minion-event.js';
import { MinionLife } from './minion-life.js';

/** Place and size of a minion. */
interface MinionServerOptions {
  readonly name: string;
  readonly service: string;
  readonly zone: string;
  readonly processorMillicores: number;
  readonly memoryMegabytes: number;
  /** Address of the agent, to which heartbeats go. */
  readonly agentAddress: string;
  readonly onEvent: (event: MinionEvent) => void;
}

const HEARTBEAT_MILLISECONDS = 1500;

const HEARTBEAT_TIMEOUT_MILLISECONDS = 1000;

const TICK_MILLISECONDS = 25;

const STOP_MILLISECONDS = 20;

type Answer = readonly [number, object];

/** Stand-in of a minion, by the published protocol. */
export class MinionServer {
  public life: MinionLife;

  public readonly server: Server;

  /** Whether orders get no answer; they are carried out. */
  public losesAnswers = false;

  public readonly lateCalls = new LateCalls();

  /** Whether it tells its agent of itself. */
  public sendsHeartbeats = true;

  private readonly options: MinionServerOptions;

  private bornAt = performance.now();

  private heartbeatCount = 0;

  private address = '';

  public constructor(options: MinionServerOptions) {
    this.options = options;
    this.life = this.createLife(options.name);
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => {
        response.destroy();
      });
    });
    setInterval(() => {
      this.life.advance(this.clock());
    }, TICK_MILLISECONDS).unref();
    setInterval(() => {
      this.sendHeartbeat();
    }, HEARTBEAT_MILLISECONDS).unref();
  }

  /** Listens on an address, where the minion then announces itself. */
  public async listen(address: string): Promise<string> {
    this.address = await listenOn(this.server, address);
    this.sendHeartbeat();
    return this.address;
  }

  /** Loses all that runs, and begins a new life. */
  public restart(identifier: string): void {
    this.server.closeAllConnections();
    this.beginLife(identifier);
  }

  /**
   * Begins a new life under the same identifier. Connections stay open, and the
   * next life gets the calls on them; calls to the former life get no answer.
   */
  public restartUnnoticed(): void {
    this.beginLife(this.life.identifier);
  }

  /** Sends one heartbeat with some fields replaced, as another writer may. */
  public async announce(
    identifier: string,
    fields: Readonly<Record<string, unknown>>,
  ): Promise<void> {
    const { service, zone, ...size } = this.options;
    const body = {
      service,
      zone,
      address: this.address,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      capacity: {
        cpu: size.processorMillicores,
        task_memory_mb: size.memoryMegabytes,
        gpus: 0,
      },
      labels: ['a', 'r1-1'],
      clock_ms: this.clock(),
      seq: this.heartbeatCount,
      born: this.life.born,
      ...fields,
    };
    await this.tellAgent('PUT', identifier, JSON.stringify(body));
  }

  /** Sends the departure of an earlier life under the same identifier. */
  public async announceLateDeparture(): Promise<void> {
    await this.tellAgent('DELETE', this.life.identifier, '');
  }

  private async tellAgent(
    method: 'PUT' | 'DELETE',
    identifier: string,
    body: string,
  ): Promise<void> {
    await callHttp({
      step: 'heartbeat.send',
      address: this.options.agentAddress,
      method,
      path: `/-/instances/${identifier}`,
      headers: { 'content-type': 'application/json' },
      body: Buffer.from(body),
      timeoutMilliseconds: HEARTBEAT_TIMEOUT_MILLISECONDS,
    }).catch(() => undefined); // The agent may be down; the next one follows.
  }

  private sendHeartbeat(): void {
    if (this.sendsHeartbeats && this.address !== '') {
      this.heartbeatCount += 1;
      void this.announce(this.life.identifier, {});
    }
  }

  private beginLife(identifier: string): void {
    this.life.crash();
    this.bornAt = performance.now();
    this.heartbeatCount = 0;
    this.life = this.createLife(identifier);
  }

  private createLife(identifier: string): MinionLife {
    const { name, onEvent } = this.options;
    return new MinionLife(name, identifier, Date.now(), onEvent);
  }

  private clock(): number {
    return Math.floor(performance.now() - this.bornAt);
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const received = await readBody(request);
    const text = received.toString('utf8');
    const body = JSON.parse(text) as Readonly<Record<string, unknown>>;
    const lateness = this.lateCalls.nextDelay();
    await pause(lateness);
    const { life } = this;
    const [status, fields] = await this.answerTo(life, request, body);
    const isLost = this.losesAnswers && request.url !== '/-/hold';
    if (lateness > 0 || isLost || life !== this.life) {
      return;
    }
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ clock_ms: this.clock(), ...fields }));
  }

  private async answerTo(
    life: MinionLife,
    { headers, url }: IncomingMessage,
    body: Readonly<Record<string, unknown>>,
  ): Promise<Answer> {
    const expected = headers['basilcourse-expected-instance'];
    if (expected !== undefined && expected !== life.identifier) {
      return [421, {}];
    }
    return life.acceptsToken(Number(body['fencing_token'] ?? 0))
      ? this.carryOut(life, url ?? '', body)
      : [409, { reason: 'fence' }];
  }

  private async carryOut(
    life: MinionLife,
    path: string,
    body: Readonly<Record<string, unknown>>,
  ): Promise<Answer> {
    const task = String(body['task']);
    const run = Number(body['run']);
    switch (path) {
      case '/-/run-start': {
        const payload = String(body['specification']);
        const { checkpoint: saved } = body;
        const checkpoint = typeof saved === 'string' ? saved : '';
        const expiresAt = Number(body['expires_ms'] ?? 0);
        const order = { task, run, payload, checkpoint };
        const reason = life.start(order, expiresAt, this.clock());
        return reason === undefined ? [200, {}] : [409, { reason }];
      }
      case '/-/run-stop':
        await pause(STOP_MILLISECONDS);
        life.stop(task, run, this.clock());
        return [200, {}];
      case '/-/hold':
        return [200, await this.hold(life, body)];
      default:
        return [200, {}];
    }
  }

  private async hold(
    life: MinionLife,
    body: Readonly<Record<string, unknown>>,
  ): Promise<object> {
    if (body['expires_ms'] !== undefined) {
      life.extendLease(Number(body['expires_ms']), this.clock());
    }
    life.acknowledge(Number(body['acked_through'] ?? 0));
    const until = performance.now() + Number(body['wait_ms'] ?? 0);
    while (life.endsListed === 0 && performance.now() < until) {
      await pause(TICK_MILLISECONDS);
    }
    // Only lists and heartbeats tell when the life began.
    return { born: life.born, ...life.lists(this.clock()) };
  }
}
