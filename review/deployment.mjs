/**
 * Starts a small deployment on loopback addresses: entries and agents with the
 * commands of the deploy file, and stand-ins of the store and the minions. All
 * that is sent, answered and run goes into the record of the case.
 */
import { spawn } from 'node:child_process';
import {
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { request as sendRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { Gangs } from './gangs.mjs';
import { Minion } from './minion.mjs';
import { Store } from './store.mjs';

export const HELD = 0;

export const BROKEN = 1;

export const COULD_NOT_RUN = 2;

const SERVICE = 'ledger';

const HOST_HEADER = 'ledger.example';

const PREFIX = '/jobs/';

/** Figures of the sheet of tidewrack-pans. */
const BOUNDS = {
  seed_lag_s: 3,
  address_reuse_s: 2,
  contact_ms: 4000,
  acknowledge_ms: 5000,
  catch_up_s: 4,
  drain_ms: 3000,
  grace_s: 6,
  loss_slack_ms: 200,
  configuration_ms: 3000,
  max_hold_ms: 10000,
  stop_timeout_ms: 200,
  gang_timeout_ms: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  checkpoint_interval_s: 1,
  restore_ms: 600,
  lease_ms: 3000,
};

const PLATFORM = {
  form: 'log',
  writes_per_s: 800,
  reads_per_s: 2000,
  parts: 32,
  append_ms: 2.0,
  partition_mb_s: 20.0,
  read_mb_s: 80.0,
  record_bytes: 262144,
  request_bytes: 2097152,
  keep_s: 300,
  partition_mb: 200,
  min_ttl_ms: 1000,
};

/** The platform starts a process that has ended again after a short delay. */
const RESTART_MILLISECONDS = 500;

export function pause(milliseconds) {
  return new Promise(resolve => {
    setTimeout(resolve, milliseconds);
  });
}

export class Deployment {
  /**
   * @param options - path of the `record`, `entries`, `agents`, `capacity` of a
   * minion, the limit in `seconds` and, if minions differ in kind, `kindOf`.
   */
  constructor(options) {
    this.options = options;
    this.lines = [];
    this.events = [];
    this.processes = new Map();
    this.minions = [];
    /** How often each process has ended. */
    this.ownEnds = new Map();
    this.gangs = new Gangs();
    this.startedAt = performance.now();
    this.directory = mkdtempSync(join(tmpdir(), 'review-'));
    this.block = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}`;
    process.once('uncaughtException', error => {
      this.note(`the case failed: ${error.stack}`);
      this.finish(COULD_NOT_RUN);
    });
    process.once('SIGTERM', () => {
      this.finish(COULD_NOT_RUN);
    });
    this.timer = setTimeout(() => {
      this.note('the time limit is reached');
      this.finish(COULD_NOT_RUN);
    }, options.seconds * 1000);
  }

  now() {
    return Math.round(performance.now() - this.startedAt);
  }

  note(text) {
    this.lines.push(`${this.now()} ms ${text}`);
  }

  async start() {
    const { entries, agents } = this.options;
    this.store = new Store({
      recordBytes: PLATFORM.record_bytes,
      requestBytes: PLATFORM.request_bytes,
    });
    this.storeAddress = await this.store.listen(`${this.block}.250`);
    this.configure(3, [this.route('ledger', PREFIX)]);
    this.ports = await this.findFreePorts();
    this.entryHosts = Array.from(
      { length: entries },
      (_, number) => `${this.block}.${number + 1}`,
    );
    this.entryHosts.forEach((host, number) => {
      this.startEntry(`entry-${number + 1}`, host);
    });
    for (let number = 1; number <= agents; number += 1) {
      await this.startSide(number, `${this.block}.${100 + number}`);
    }
    await this.waitUntilReady();
  }

  /** A route, as the operator writes it into a configuration. */
  route(name, pathPrefix) {
    return {
      name,
      host: HOST_HEADER,
      path_prefix: pathPrefix,
      kind: 'non_idempotent',
      timeout_ms: 3000,
      target_latency_ms: 600,
      priority: 0,
      service: SERVICE,
      max_attempts: 3,
      slack_factor: 1.5,
    };
  }

  /** Writes a configuration, as the operator does. */
  configure(version, routes) {
    const configuration = {
      version,
      routes,
      services: [
        {
          name: SERVICE,
          health_path: '/health',
          connection_limit: 64,
          protocol: 'h1',
          tls: false,
          admission_check: false,
          standby: false,
        },
      ],
      limits: { header_bytes: 16_384, body_bytes: 262_144 },
    };
    const text = JSON.stringify(configuration);
    this.store.write('keyed.op', 'config', text);
    this.note(
      `operator: configuration ${version}, ${routes.length} routes, ${text.length} bytes`,
    );
  }

  async findFreePorts() {
    const host = `${this.block}.1`;
    const ports = [];
    for (let count = 0; count < 4; count += 1) {
      const server = createServer();
      await new Promise(resolve => {
        server.listen(0, host, resolve);
      });
      ports.push(server.address().port);
      await new Promise(resolve => {
        server.close(resolve);
      });
    }
    const [front, readiness, control, internal] = ports;
    return { front, readiness, control, internal };
  }

  settingsOf(name, role, host, more) {
    const { front, readiness, control, internal } = this.ports;
    return {
      node_name: name,
      role,
      machine_class: more.machineClass,
      ip_address: host,
      zone: 'zone-1',
      region: 'region-1',
      zones: { 'zone-1': 'region-1' },
      listen_addresses:
        role === 'entry'
          ? {
              front: `${host}:${front}`,
              readiness: `${host}:${readiness}`,
              control: `${host}:${control}`,
            }
          : { control: `${host}:${control}` },
      internal_ports: [internal, internal + 1],
      seeds: this.entryHosts.slice(0, 3).map(seed => `${seed}:${control}`),
      bootstrap: true,
      limits:
        role === 'entry'
          ? { cpu_share: 0.27, cores: 1, memory_mb: 350 }
          : { cpu_share: 0.405, cores: 1, memory_mb: 218 },
      data_directory: null,
      discovery: 'local',
      heartbeat_ms: 1500,
      bounds: BOUNDS,
      orders: 'call',
      platform: { address: this.storeAddress, ...PLATFORM },
      ...more.fields,
    };
  }

  startEntry(name, host) {
    const settings = this.settingsOf(name, 'entry', host, {
      machineClass: 'frontend',
      fields: {},
    });
    this.spawn('entry', name, settings);
  }

  async startSide(number, host) {
    const name = `side-${number}`;
    const minion = new Minion(
      {
        name: `i-${number}`,
        service: SERVICE,
        zone: 'zone-1',
        labels: [this.options.kindOf?.(number) ?? 'a', 'r1-1'],
        capacity: this.options.capacity,
        maximumLeaseMilliseconds: BOUNDS.max_hold_ms,
        checkpointMilliseconds: BOUNDS.checkpoint_interval_s * 1000,
        gangs: this.gangs,
        gangTimeoutMilliseconds: BOUNDS.gang_timeout_ms,
        heartbeatAddress: `${host}:${this.ports.control}`,
      },
      event => {
        this.recordEvent(event);
      },
    );
    await minion.listen(host);
    this.minions.push(minion);
    const settings = this.settingsOf(name, 'agent', host, {
      machineClass: 'side',
      fields: { app: minion.address, service: SERVICE },
    });
    this.spawn('agent', name, settings);
    minion.startHeartbeats();
  }

  recordEvent(event) {
    const entry = { at: this.now(), ...event };
    this.events.push(entry);
    const more = event.how ?? event.checkpoint ?? '';
    this.note(
      `${event.minion}: ${event.event} ${event.task} run ${event.run} ${more}`,
    );
  }

  spawn(role, name, settings) {
    const path = join(this.directory, `${name}.yaml`);
    writeFileSync(path, JSON.stringify(settings, undefined, 1));
    const log = openSync(join(this.directory, `${name}.log`), 'a');
    const [program, ...words] = deployCommand(role);
    const child = spawn(program, words, {
      stdio: ['ignore', log, log],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        BASILCOURSE_NODE_FILE: path,
      },
    });
    this.note(`${name}: the process is started`);
    child.on('exit', (code, signal) => {
      if (this.processes.get(name) === child) {
        this.note(`${name}: the process has ended, ${code ?? signal}`);
        this.ownEnds.set(name, (this.ownEnds.get(name) ?? 0) + 1);
        setTimeout(() => {
          this.spawn(role, name, settings);
        }, RESTART_MILLISECONDS);
      }
    });
    this.processes.set(name, child);
  }

  /** Sends a signal to one of the started processes. */
  signal(name, signal) {
    this.note(`${name}: ${signal}`);
    this.processes.get(name)?.kill(signal);
  }

  /** Name of the entry that last wrote the leader's record. */
  leader() {
    const text = this.store.valueOf('keyed.leader', 'leader');
    return text === undefined ? undefined : JSON.parse(text).name;
  }

  async waitUntilReady() {
    const { readiness } = this.ports;
    for (let tries = 0; tries < 150; tries += 1) {
      const answers = await Promise.all(
        this.entryHosts.map(host =>
          call(`${host}:${readiness}`, 'GET', '/-/readiness', undefined, 500),
        ),
      );
      if (answers.every(({ status }) => status === 200)) {
        // Agents join, and the leader learns of their minions.
        await pause(4000);
        this.note('the deployment is ready');
        return;
      }
      await pause(100);
    }
    this.note('the deployment did not become ready');
    this.finish(COULD_NOT_RUN);
  }

  async callEntry(
    number,
    method,
    path,
    body,
    { deadlineMilliseconds = 3000, prefix = PREFIX } = {},
  ) {
    const host = this.entryHosts[number % this.entryHosts.length];
    const address = `${host}:${this.ports.front}`;
    const answer = await call(
      address,
      method,
      prefix + path,
      body,
      deadlineMilliseconds,
    );
    const text = answer.text.slice(0, 120);
    this.note(
      `client: ${method} ${path || prefix} at entry-${(number % this.entryHosts.length) + 1}: ${answer.status || 'no answer'} ${text}`,
    );
    return answer;
  }

  /** Hands a job in, as clients do: again at another entry until accepted. */
  async submit(identifier, job, tries = 5) {
    for (let number = 0; number < tries; number += 1) {
      const { status } = await this.callEntry(number, 'POST', identifier, job);
      if (status >= 200 && status < 300) {
        return true;
      }
      await pause(1000);
    }
    return false;
  }

  /** State of a job, asked at each entry in turn; undefined without an answer. */
  async stateOf(identifier, tries = 3) {
    for (let number = 0; number < tries; number += 1) {
      const { status, text } = await this.callEntry(number, 'GET', identifier);
      if (status === 200) {
        return JSON.parse(text).state;
      }
      if (status === 410) {
        return 'no such job';
      }
    }
    return undefined;
  }

  async waitForState(identifier, wanted, milliseconds) {
    const until = performance.now() + milliseconds;
    let state;
    while (performance.now() < until) {
      state = await this.stateOf(identifier, 1);
      if (state === wanted) {
        return state;
      }
      await pause(500);
    }
    return state;
  }

  eventsOf(identifier, kind) {
    return this.events.filter(
      ({ task, event }) =>
        event === kind && (task ?? '').startsWith(`${identifier}.`),
    );
  }

  /** Describes each pair of runs of one task that were at work at once. */
  overlaps() {
    const open = new Map();
    const found = [];
    for (const { at, event, minion, task, run } of this.events) {
      const runs = open.get(task) ?? new Map();
      open.set(task, runs);
      const key = `${minion}/${run}`;
      if (event === 'start') {
        for (const other of runs.keys()) {
          found.push(
            `${task}: ${key} began at ${at} ms while ${other} was at work, since ${runs.get(other)} ms`,
          );
        }
        runs.set(key, at);
      } else if (event !== 'acked') {
        runs.delete(key);
      }
    }
    return found;
  }

  /** Ends all processes, writes the record and exits. */
  finish(code) {
    clearTimeout(this.timer);
    for (const child of this.processes.values()) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    this.note(
      `result: ${['the rule held', 'the rule was broken', 'the case could not run'][code]}`,
    );
    const text = `${this.lines.join('\n')}\n`;
    writeFileSync(this.options.record, text);
    if (process.env.KEEP === undefined) {
      rmSync(this.directory, { recursive: true, force: true });
    } else {
      process.stderr.write(`${this.directory}\n`);
    }
    process.exit(code);
  }
}

/** Command of a role in the deploy file, split at spaces as the platform does. */
function deployCommand(role) {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const command = /run = "([^"]+)"/.exec(section)?.[1] ?? '';
  return command.split(' ');
}

export function call(address, method, path, body, milliseconds) {
  const [host, port] = address.split(':');
  const text = body === undefined ? '' : JSON.stringify(body);
  return new Promise(resolve => {
    const outgoing = sendRequest(
      {
        host,
        port: Number(port),
        method,
        path,
        agent: false,
        headers: {
          host: HOST_HEADER,
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(text),
          'basilcourse-deadline-remaining': String(milliseconds),
        },
      },
      response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('error', () => undefined);
        response.on('end', () => {
          clearTimeout(timer);
          const answer = Buffer.concat(chunks).toString('utf8');
          resolve({ status: response.statusCode ?? 0, text: answer });
        });
      },
    );
    const timer = setTimeout(() => {
      outgoing.destroy();
      resolve({ status: 0, text: '' });
    }, milliseconds);
    outgoing.on('error', () => {
      clearTimeout(timer);
      resolve({ status: 0, text: '' });
    });
    outgoing.end(text);
  });
}
