/**
 * Stand-in of a minion: runs tasks for as long as their specification says
 * (`work_ms=N`, or `lasting`), under leases and fencing tokens, as the protocol
 * page describes it. It starts whatever it is told to start.
 */
import { createServer, request as sendRequest } from 'node:http';

const HEARTBEAT_MILLISECONDS = 1500;

const STOP_MILLISECONDS = 20;

const ENDS_LISTED = 500;

const TICK_MILLISECONDS = 25;

const FULL_PERCENT = 100;

export class Minion {
  /**
   * @param options - `name`, `service`, `zone`, `labels`, `capacity`,
   * `maximumLeaseMilliseconds`, `checkpointMilliseconds`, `heartbeatAddress`,
   * `gangs` and `gangTimeoutMilliseconds`.
   * @param onEvent - Called with each start, end and acknowledged end.
   */
  constructor(options, onEvent) {
    this.options = options;
    this.gangs = options.gangs;
    this.onEvent = onEvent;
    this.connections = new Set();
    this.beginLife(options.name);
  }

  /** Begins a new life, which knows nothing of before. */
  beginLife(identifier) {
    this.identifier = identifier;
    this.born = Date.now();
    this.clockStart = performance.now();
    this.token = 0;
    this.leaseUntil = 0;
    this.runs = new Map();
    this.ends = [];
    this.endNumber = 0;
    this.beatNumber = 0;
    this.highestEnded = new Map();
    this.waiting = new Set();
    this.state = 'ready';
  }

  clock() {
    return Math.floor(performance.now() - this.clockStart);
  }

  async listen(host, port = 0) {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => {
        response.destroy();
      });
    });
    this.server.on('connection', socket => {
      this.connections.add(socket);
      socket.on('close', () => this.connections.delete(socket));
    });
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.address = `${host}:${this.server.address().port}`;
    this.ticker = setInterval(() => {
      this.tick();
    }, TICK_MILLISECONDS);
    return this.address;
  }

  startHeartbeats() {
    this.beat();
    this.beats = setInterval(() => {
      this.beat();
    }, HEARTBEAT_MILLISECONDS);
  }

  /** Description of itself, as heartbeats carry it. */
  description() {
    const { service, zone, capacity, labels } = this.options;
    this.beatNumber += 1;
    return {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      cold_remaining_ms: 0,
      capacity,
      labels,
      clock_ms: this.clock(),
      seq: this.beatNumber,
      born: this.born,
    };
  }

  beat() {
    const body = JSON.stringify(this.description());
    const [host, port] = this.options.heartbeatAddress.split(':');
    const outgoing = sendRequest(
      {
        host,
        port: Number(port),
        method: 'PUT',
        path: `/-/instances/${this.identifier}`,
        headers: {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
        },
        timeout: 1000,
      },
      response => response.resume(),
    );
    outgoing.on('timeout', () => outgoing.destroy());
    outgoing.on('error', () => undefined);
    outgoing.end(body);
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const expected = request.headers['basilcourse-expected-instance'];
    if (expected !== undefined && expected !== this.identifier) {
      this.send(response, 421, {});
      return;
    }
    const body = JSON.parse(Buffer.concat(chunks).toString('utf8'));
    const token = body.fencing_token ?? 0;
    if (token < this.token) {
      this.send(response, 409, { reason: 'fence' });
      return;
    }
    this.token = token;
    switch (request.url) {
      case '/-/run-start':
        this.start(body, response);
        return;
      case '/-/run-stop':
        await this.stop(body, response);
        return;
      case '/-/hold':
        await this.hold(body, response);
        return;
      case '/-/pace':
        this.send(response, 200, {});
        return;
      default:
        this.send(response, 404, {});
    }
  }

  send(response, status, body) {
    const text = JSON.stringify({
      clock_ms: this.clock(),
      born: this.born,
      ...body,
    });
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  extendLease(expiresAt) {
    if (expiresAt === undefined) {
      return;
    }
    const latest = this.clock() + this.options.maximumLeaseMilliseconds;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(expiresAt, latest));
  }

  start(order, response) {
    const { task, run, specification, checkpoint } = order;
    if (order.expires_ms <= this.clock()) {
      this.send(response, 409, { reason: 'late' });
      return;
    }
    this.extendLease(order.expires_ms);
    const current = this.runs.get(task);
    if (current?.run === run) {
      this.send(response, 200, {});
      return;
    }
    if (run <= (this.highestEnded.get(task) ?? 0) || current !== undefined) {
      this.send(response, 409, { reason: 'old' });
      return;
    }
    const lasting = specification.startsWith('lasting');
    const work = Number(/work_ms=(\d+)/.exec(specification)?.[1] ?? 1000);
    const saves = specification.includes('saves');
    const resumedAt = checkpoint === undefined ? 0 : parseInt(checkpoint, 16);
    const gangSize = Number(/gang=(\d+)/.exec(specification)?.[1] ?? 0);
    const entry = {
      task,
      run,
      lasting,
      saves,
      work,
      resumedAt,
      gangSize,
      startedAt: performance.now(),
    };
    this.runs.set(task, entry);
    if (gangSize > 0) {
      this.gangs.add(entry, this);
    }
    this.report('start', task, run, { checkpoint: checkpoint ?? '' });
    this.send(response, 200, {});
  }

  progressOf(entry) {
    const worked =
      entry.gangSize > 0
        ? this.gangs.worked(entry)
        : performance.now() - entry.startedAt;
    return worked + entry.resumedAt;
  }

  savedOf(entry) {
    if (!entry.saves) {
      return '';
    }
    const { checkpointMilliseconds: interval } = this.options;
    const saved = Math.floor(this.progressOf(entry) / interval) * interval;
    return saved === 0 ? '' : saved.toString(16).padStart(16, '0');
  }

  async stop({ task, run }, response) {
    const highest = this.highestEnded.get(task) ?? 0;
    this.highestEnded.set(task, Math.max(highest, run));
    await new Promise(resolve => {
      setTimeout(resolve, STOP_MILLISECONDS);
    });
    const entry = this.runs.get(task);
    if (entry !== undefined && entry.run <= run) {
      this.end(entry, 'stopped');
    }
    this.send(response, 200, {});
  }

  async hold(body, response) {
    this.extendLease(body.expires_ms);
    const through = body.acked_through ?? 0;
    for (const end of this.ends.filter(({ number }) => number <= through)) {
      this.report('acked', end.task, end.run, { how: end.how });
    }
    this.ends = this.ends.filter(({ number }) => number > through);
    const waitMilliseconds = body.wait_ms ?? 0;
    if (this.ends.length === 0 && waitMilliseconds > 0) {
      await this.waitForEnd(waitMilliseconds);
    }
    const running = [...this.runs.values()].map(entry => [
      entry.task,
      entry.run,
      this.savedOf(entry),
      entry.lasting
        ? FULL_PERCENT
        : Math.min(99, (FULL_PERCENT * this.progressOf(entry)) / entry.work),
      10,
    ]);
    const finished = this.ends
      .slice(0, ENDS_LISTED)
      .map(({ number, task, run, how, saved }) => [
        number,
        task,
        run,
        how,
        saved,
      ]);
    this.send(response, 200, { running, finished });
  }

  waitForEnd(milliseconds) {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      this.waiting.add(wake);
    });
  }

  tick() {
    const lapsed = this.clock() > this.leaseUntil;
    for (const entry of [...this.runs.values()]) {
      if (!this.runs.has(entry.task)) {
        continue;
      }
      if (lapsed) {
        this.end(entry, 'lapsed');
      } else if (this.isAlone(entry)) {
        this.end(entry, 'alone');
      } else if (!entry.lasting && this.progressOf(entry) >= entry.work) {
        this.end(entry, 'done');
      }
    }
  }

  isAlone(entry) {
    const waits =
      entry.gangSize > 0 && (this.gangs.runOf(entry)?.completeAt ?? 0) === 0;
    const waited = performance.now() - entry.startedAt;
    return waits && waited > this.options.gangTimeoutMilliseconds;
  }

  /** Crashes: all that ran is lost, and nobody is told. */
  crash() {
    const lost = [...this.runs.values()];
    this.runs.clear();
    for (const entry of lost) {
      this.report('lost', entry.task, entry.run, {});
      if (entry.gangSize > 0) {
        this.gangs.leave(entry, 'lost');
      }
    }
    this.connections.forEach(socket => {
      socket.destroy();
    });
  }

  end(entry, how) {
    const { task, run } = entry;
    if (this.runs.get(task) !== entry) {
      return;
    }
    const saved = this.savedOf(entry);
    this.runs.delete(task);
    const highest = this.highestEnded.get(task) ?? 0;
    this.highestEnded.set(task, Math.max(highest, run));
    this.endNumber += 1;
    this.ends.push({ number: this.endNumber, task, run, how, saved });
    this.report(how, task, run, {});
    [...this.waiting].forEach(wake => {
      wake();
    });
    if (entry.gangSize > 0) {
      this.gangs.leave(entry, how);
    }
  }

  report(event, task, run, more) {
    this.onEvent({ event, minion: this.options.name, task, run, ...more });
  }

  close() {
    clearInterval(this.beats);
    clearInterval(this.ticker);
    this.server?.close();
    this.connections.forEach(socket => {
      socket.destroy();
    });
  }
}
