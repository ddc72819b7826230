import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

import { callHttp } from '@basilcourse/foundation/http/call-http';
import { listenOn } from '@basilcourse/foundation/net/listen-on';
import { configurationText } from '@basilcourse/platform-stand-in/deployment/configuration-text';
import { NODE_PORTS } from '@basilcourse/platform-stand-in/deployment/node-ports';
import { settingsText } from '@basilcourse/platform-stand-in/deployment/settings-text';
import { MetadataStoreServer } from '@basilcourse/platform-stand-in/metadata-store/metadata-store-server';
import { MinionServer } from '@basilcourse/platform-stand-in/minion/minion-server';
import { pause } from '@basilcourse/platform-stand-in/time/pause';

import { Program } from './program.js';
import type { SoakEvent } from './soak-event.js';
import type { SoakOptions } from './soak-options.js';
import { TcpProxy } from './tcp-proxy.js';

/** Host and path prefix of the only queue. */
export const QUEUE = { host: 'queue.example', prefix: '/jobs/' } as const;

/** Room of each minion. */
export const ROOM = {
  processorMillicores: 16_000,
  memoryMegabytes: 64_000,
} as const;

const SERVICE = 'service';

const AGENT_HOSTS_FROM = 100;

const STORE_HOST_NUMBER = 250;

const READY_TRIES = 300;

const READY_INTERVAL_MILLISECONDS = 100;

/** Time for the agents to join, and the leader to learn of their minions. */
const JOIN_MILLISECONDS = 3000;

/** The real programs on loopback addresses, between stand-ins and proxies. */
export class SoakDeployment {
  public readonly store = new MetadataStoreServer();

  public readonly programs = new Map<string, Program>();

  /** Proxies between programs and the store, by program. */
  public readonly storePaths = new Map<string, TcpProxy>();

  /** Proxies between agents and their minions, in the order of the minions. */
  public readonly minionPaths: TcpProxy[] = [];

  public readonly minions: MinionServer[] = [];

  private readonly options: SoakOptions;

  private readonly block: string;

  private readonly onEvent: (event: SoakEvent) => void;

  private storeAddress = '';

  public constructor(
    options: SoakOptions,
    onEvent: (event: SoakEvent) => void,
  ) {
    this.options = options;
    this.onEvent = onEvent;
    const { pid } = process;
    process.once('exit', () => {
      this.close();
    });
    this.block = `127.${1 + (pid % 250)}.${(pid >> 8) % 250}`;
  }

  /** Addresses of the entries for callers. */
  public get callerAddresses(): readonly string[] {
    return this.entryHosts().map(host => `${host}:${NODE_PORTS.callers}`);
  }

  /** Starts everything, and waits until it serves. */
  public async start(): Promise<void> {
    const host = `${this.block}.${STORE_HOST_NUMBER}`;
    this.storeAddress = await listenOn(this.store.server, `${host}:0`);
    this.configure(1);
    for (const [number, entryHost] of this.entryHosts().entries()) {
      await this.startProgram(`entry-${number}`, 'entry', entryHost);
    }
    for (let number = 0; number < this.options.agents; number += 1) {
      await this.startSide(number);
    }
    await this.waitUntilReady();
  }

  /** Writes a configuration, as the operator does. */
  public configure(version: number): void {
    const { host, prefix } = QUEUE;
    const text = configurationText(version, host, prefix, SERVICE);
    this.store.topic('keyed.op').write('config', text);
  }

  /** Name of the program that last wrote that it leads. */
  public leader(): string | undefined {
    const text = this.store.topic('keyed.leader').valueOf('leader');
    return text === undefined
      ? undefined
      : (JSON.parse(text) as { readonly name: string }).name;
  }

  /** Ends all processes and servers. */
  public close(): void {
    for (const program of this.programs.values()) {
      program.close();
    }
    for (const proxy of [...this.storePaths.values(), ...this.minionPaths]) {
      proxy.close();
    }
    for (const { server } of [this.store, ...this.minions]) {
      server.closeAllConnections();
      server.close();
    }
  }

  private entryHosts(): readonly string[] {
    return Array.from(
      { length: this.options.entries },
      (_, number) => `${this.block}.${number + 1}`,
    );
  }

  private async startSide(number: number): Promise<void> {
    const name = `agent-${number}`;
    const host = `${this.block}.${AGENT_HOSTS_FROM + number}`;
    const minion = new MinionServer({
      ...ROOM,
      name: `minion-${number}`,
      service: SERVICE,
      zone: 'zone-1',
      agentAddress: `${host}:${NODE_PORTS.heartbeats}`,
      onEvent: event => {
        this.onEvent({ kind: 'run', event });
      },
    });
    const path = new TcpProxy(await minion.listen(`${host}:0`));
    this.minions.push(minion);
    this.minionPaths.push(path);
    await this.startProgram(
      name,
      'agent',
      host,
      await path.listen(`${host}:0`),
    );
  }

  private async startProgram(
    name: string,
    role: 'entry' | 'agent',
    host: string,
    minionAddress?: string,
  ): Promise<void> {
    const path = new TcpProxy(this.storeAddress);
    this.storePaths.set(name, path);
    const settings = join(this.options.directory, `${name}.yaml`);
    const text = settingsText({
      name,
      role,
      host,
      seeds: this.entryHosts()
        .slice(0, 3)
        .map(seed => `${seed}:${NODE_PORTS.heartbeats}`),
      storeAddress: await path.listen(`${host}:0`),
      minionAddress,
      service: SERVICE,
    });
    writeFileSync(settings, text);
    const log = join(this.options.directory, `${name}.log`);
    const program = new Program(name, role, { settings, log }, change => {
      this.onEvent({ kind: 'process', name, change });
    });
    this.programs.set(name, program);
    program.start();
  }

  private async waitUntilReady(): Promise<void> {
    for (let tries = 0; tries < READY_TRIES; tries += 1) {
      const ready = await Promise.all(this.entryHosts().map(isReady));
      if (ready.every(Boolean)) {
        await pause(JOIN_MILLISECONDS);
        return;
      }
      await pause(READY_INTERVAL_MILLISECONDS);
    }
    throw new Error('The programs did not become ready.');
  }
}

async function isReady(host: string): Promise<boolean> {
  try {
    const { status } = await callHttp({
      step: 'soak.ready',
      address: `${host}:${NODE_PORTS.readiness}`,
      method: 'GET',
      path: '/-/readiness',
      timeoutMilliseconds: 1000,
    });
    return status === 200;
  } catch {
    return false; // It has not started yet.
  }
}
