import { AgentNode } from '@basilcourse/daemon/node/agent-node';
import { EntryNode } from '@basilcourse/daemon/node/entry-node';
import { createNodeCore } from '@basilcourse/daemon/node/node-core';
import type { NodeDependencies } from '@basilcourse/daemon/node/node-dependencies';
import type { Settings } from '@basilcourse/daemon/settings/settings';
import { systemClock } from '@basilcourse/foundation/clock/system-clock';
import type { JsonServer } from '@basilcourse/foundation/http/json-server';
import { randomIdentifiers } from '@basilcourse/foundation/identifiers/random-identifiers';
import { createLogger } from '@basilcourse/foundation/logging/create-logger';
import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import { createLogServer } from '@basilcourse/platform-stand-in/log/log-server';
import { LogStandIn } from '@basilcourse/platform-stand-in/log/log-stand-in';
import { RequestRecorder } from '@basilcourse/platform-stand-in/upstream/request-recorder';
import { ExecutionRecorder } from '@basilcourse/platform-stand-in/worker/execution-recorder';
import { createWorkerServer } from '@basilcourse/platform-stand-in/worker/worker-server';
import { WorkerStandIn } from '@basilcourse/platform-stand-in/worker/worker-stand-in';
import { HttpPlatformWorker } from '@basilcourse/scheduler/platform/http-platform-worker';
import { HttpPlatformLog } from '@basilcourse/shared-state/log/http-platform-log';

import type { DeploymentPlan } from './deployment-plan.js';
import type { DeploymentVm } from './deployment-vm.js';
import { RegionLinks } from './region-links.js';
import { UpstreamHost } from './upstream-host.js';

const LOOPBACK = '127.0.0.1:0';

/** Runs the stand-ins and nodes of a deployment in one process, on loopback. */
export class Deployment {
  public readonly log: LogStandIn;

  public readonly executionRecorder = new ExecutionRecorder();

  public readonly requestRecorder = new RequestRecorder();

  public readonly entries: EntryNode[] = [];

  public readonly vms: DeploymentVm[] = [];

  /** Links between the regions; the log is in the first zone's region. */
  public readonly links = new RegionLinks();

  private readonly logServer: JsonServer;

  private logAddress = '';

  private startedNodes = 0;

  public constructor(private readonly plan: DeploymentPlan) {
    this.log = new LogStandIn(systemClock, seededRandom(plan.seed));
    this.logServer = createLogServer(this.log);
  }

  public async start(): Promise<void> {
    this.logAddress = await this.logServer.listen(LOOPBACK);
    this.links.registerAddress(this.logAddress, this.locationOf(0).region);
    for (let index = 0; index < this.plan.entries; index += 1) {
      await this.addEntry(index);
    }
    for (let index = 0; index < this.plan.workers; index += 1) {
      this.vms.push(await this.addVm(index));
    }
  }

  /** Ends all nodes and stand-ins without a graceful stop. */
  public async kill(): Promise<void> {
    await Promise.all(this.entries.map(entry => entry.kill()));
    for (const vm of this.vms) {
      await vm.agent?.kill();
      await vm.host.killAll();
      await vm.workerServer.close();
    }
    await this.logServer.close();
  }

  /** Starts one more entry, in the zone that the index selects. */
  public async addEntry(index: number): Promise<EntryNode> {
    const settings = {
      ...this.commonSettings(index),
      name: `entry-${this.nextNodeNumber()}`,
      role: 'entry' as const,
      worker: undefined,
    };
    const { region } = settings;
    const dependencies = this.nodeDependencies(region);
    const entry = new EntryNode(createNodeCore(settings, dependencies));
    await entry.start();
    this.links.registerAddress(entry.core.own.get().address, region);
    this.entries.push(entry);
    return entry;
  }

  /** Stops an entry gracefully and removes it from the entries. */
  public async stopEntry(entry: EntryNode): Promise<void> {
    this.entries.splice(this.entries.indexOf(entry), 1);
    await entry.stop();
  }

  /** Kills an entry and removes it from the entries. */
  public async killEntry(entry: EntryNode): Promise<void> {
    this.entries.splice(this.entries.indexOf(entry), 1);
    await entry.kill();
  }

  /** Ends the agent of a VM, if there is one, and starts a new one. */
  public async replaceAgent(index: number, graceful: boolean): Promise<void> {
    const vm = this.vms[index];
    if (vm === undefined) {
      return;
    }
    await (graceful ? vm.agent?.stop() : vm.agent?.kill());
    const agent = await this.startAgent(index, vm.workerAddress);
    this.vms[index] = { ...vm, agent };
  }

  /** Kills a VM with its worker, upstreams and agent. */
  public async killVm(index: number): Promise<void> {
    const vm = this.vms[index];
    if (vm === undefined) {
      return;
    }
    vm.worker.setFaults({ unreachable: true });
    vm.worker.runner.clear();
    await vm.host.killAll();
    await vm.agent?.kill();
    this.vms[index] = { ...vm, agent: undefined };
  }

  private async addVm(index: number): Promise<DeploymentVm> {
    const location = this.locationOf(index);
    const random = seededRandom(this.plan.seed + index);
    const host = new UpstreamHost({
      requestRecorder: this.requestRecorder,
      random,
      behaviourOf: this.plan.upstreamBehaviour,
      agentAddress: () => this.vms[index]?.agent?.localAddress ?? '',
      onDrained: attempt => {
        worker.runner.completeStop(attempt);
      },
    });
    const worker = new WorkerStandIn({
      description: this.descriptionOf(index, ''),
      clock: systemClock,
      random,
      recorder: this.executionRecorder,
      behaviour: this.plan.taskBehaviour,
      hooks: host,
    });
    const workerServer = createWorkerServer(worker);
    const workerAddress = await workerServer.listen(LOOPBACK);
    this.links.registerAddress(workerAddress, location.region);
    const agent = await this.startAgent(index, workerAddress);
    return { worker, workerServer, workerAddress, host, agent, ...location };
  }

  private async startAgent(
    index: number,
    workerAddress: string,
  ): Promise<AgentNode> {
    const settings = {
      ...this.commonSettings(index),
      name: `agent-${index + 1}`,
      role: 'agent' as const,
      rack: this.rackOf(index),
      worker: this.descriptionOf(index, workerAddress),
    };
    const { region } = settings;
    const dependencies = this.nodeDependencies(region);
    const agent = new AgentNode(createNodeCore(settings, dependencies));
    await agent.start();
    this.links.registerAddress(agent.core.own.get().address, region);
    return agent;
  }

  private descriptionOf(
    index: number,
    address: string,
  ): NonNullable<Settings['worker']> {
    const { region, zone } = this.locationOf(index);
    return {
      worker: `worker-${index + 1}`,
      address,
      region,
      availabilityZone: zone,
      rack: this.rackOf(index),
      resources: this.plan.workerSize,
    };
  }

  private locationOf(index: number): DeploymentPlan['zones'][number] {
    const { zones } = this.plan;
    return zones[index % zones.length] ?? { region: 'here', zone: 'here-1' };
  }

  private rackOf(index: number): string {
    const { zones, workersPerRack } = this.plan;
    const row = Math.floor(index / zones.length);
    const { zone } = this.locationOf(index);
    return `${zone}-rack-${Math.floor(row / workersPerRack)}`;
  }

  private nextNodeNumber(): number {
    this.startedNodes += 1;
    return this.startedNodes;
  }

  private commonSettings(
    index: number,
  ): Omit<Settings, 'name' | 'role' | 'worker'> {
    const { region, zone } = this.locationOf(index);
    return {
      region,
      availabilityZone: zone,
      rack: 'none',
      controlAddress: LOOPBACK,
      operatorsAddress: LOOPBACK,
      callersAddress: LOOPBACK,
      localAddress: LOOPBACK,
      logAddress: this.logAddress,
      entries: this.entries.map(entry => entry.core.own.get().address),
      keys: { current: 'a key that all processes share', other: '' },
      routing: this.plan.routing,
      placement: 'least-harm',
      logLevel: 'fatal',
      events: 4096,
      noticeSeconds: 1,
      shutdownSeconds: 30,
    };
  }

  private nodeDependencies(region: string): NodeDependencies {
    const { links, logAddress } = this;
    const log = new HttpPlatformLog(logAddress);
    return {
      clock: systemClock,
      random: seededRandom(this.plan.seed + this.nextNodeNumber()),
      identifiers: randomIdentifiers,
      log: links.logFrom(region, logAddress, log),
      openSocket: links.socketOpenerOf(region),
      workerAt: address =>
        links.workerFrom(region, address, new HttpPlatformWorker(address)),
      logger: createLogger('embedded', 'fatal'),
    };
  }
}
