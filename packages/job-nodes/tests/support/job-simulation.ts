import { Writable } from 'node:stream';

import type { RandomSource } from '@basilcourse/foundation/random/random-source';
import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import type { JobSpecification } from '@basilcourse/jobs/model/job-specification';
import type { StepSpecification } from '@basilcourse/jobs/model/step-specification';

import { ImageMemory } from '../../src/agent/image-memory.js';
import { MinionDriver } from '../../src/agent/minion-driver.js';
import { AgentSession } from '../../src/leader/agent-session.js';
import type { JobAnswer } from '../../src/leader/job-answer.js';
import type { JobCall } from '../../src/leader/job-call.js';
import { Leader } from '../../src/leader/leader.js';
import type { LeaderMessage } from '../../src/lines/leader-message.js';
import { anchoredTime } from '../../src/time/anchored-time.js';
import { pause } from '../../src/time/pause.js';
import { FakeMinion } from './fake-minion.js';
import { MemoryStore } from './memory-store.js';
import { MINION_LIMITS } from './minion-limits.js';
import { QUEUE_SETTINGS } from './queue-settings.js';
import { quietLogger } from './quiet-logger.js';
import { RunChecker } from './run-checker.js';
import { SimulatedVm } from './simulated-vm.js';

const LEASE_MILLISECONDS = 1200;

const CAPACITY_MILLICORES = 4000;

const HEARTBEAT_INTERVAL_MILLISECONDS = 100;

/** Real leaders and drivers over fake minions, links and an in-memory store. */
export class JobSimulation {
  public readonly store: MemoryStore;

  public readonly runChecker: RunChecker;

  public readonly random: RandomSource;

  public lateShare = 0;

  /** Shortest time for which a run works; it may take 400 ms longer. */
  public workMilliseconds = 50;

  public leader: Leader;

  public readonly vms: SimulatedVm[];

  private readonly time = anchoredTime();

  private readonly surroundings = {
    time: this.time,
    logger: quietLogger,
    minionLimits: MINION_LIMITS,
  };

  private readonly specifications = new Map<string, JobSpecification>();

  /**
   * All drivers ever created: replaced ones keep running, like processes that
   * resume after a long pause.
   */
  private readonly drivers: MinionDriver[] = [];

  private epoch = 1;
  private readonly heartbeatTimer: NodeJS.Timeout;

  public constructor(seed: number, agentCount: number) {
    this.random = seededRandom(seed);
    this.store = new MemoryStore(this.random);
    this.runChecker = new RunChecker(
      task => this.stepOf(task),
      CAPACITY_MILLICORES,
    );
    this.leader = this.createLeader();
    this.vms = Array.from({ length: agentCount }, (_, index) =>
      this.createVm(`agent-${index}`),
    );
    this.heartbeatTimer = setInterval(() => {
      this.sendHeartbeats();
    }, HEARTBEAT_INTERVAL_MILLISECONDS);
  }

  /** Stops the timers and loops that would keep the process running. */
  public close(): void {
    clearInterval(this.heartbeatTimer);
    this.drivers.forEach(driver => {
      driver.stop();
    });
    this.leader.close();
  }

  /** Submits a job, repeatedly and to each leader, until it is accepted. */
  public async submit(specification: JobSpecification): Promise<void> {
    this.specifications.set(specification.identifier, specification);
    const call: JobCall = {
      kind: 'submit',
      specification,
      queue: QUEUE_SETTINGS,
    };
    while ((await this.callLeader(call)).kind !== 'accepted') {
      await pause(30);
    }
  }

  /** Sends a call to the current leader. */
  public callLeader(call: JobCall): Promise<JobAnswer> {
    return this.leader.answer(call);
  }

  /** Replaces the leader; the earlier one keeps running for up to 400 ms. */
  public changeLeader(): void {
    const earlier = this.leader;
    this.epoch += 1;
    this.leader = this.createLeader();
    void pause(this.random.next() * 400).then(() => {
      earlier.close();
    });
  }

  /** Replaces an agent's process; its minion keeps running. */
  public restartAgent(vm: SimulatedVm): void {
    this.disconnect(vm);
    vm.driver = this.createDriver(vm);
    vm.driver.updateMinion(vm.minion.self);
  }

  /** Ends a minion's incarnation and starts the next one. */
  public crashMinion(vm: SimulatedVm): void {
    vm.minion.crash();
    vm.driver?.updateMinion(vm.minion.self);
  }

  /** Makes the leader unreachable for an agent for the given time. */
  public disconnectAgent(vm: SimulatedVm, milliseconds: number): void {
    vm.unreachableUntil = performance.now() + milliseconds;
    this.disconnect(vm);
  }

  private stepOf(task: string): StepSpecification {
    const [job = '', , step = ''] = task.split('.');
    const found = this.specifications.get(job)?.steps[Number(step)];
    if (found === undefined) {
      throw new Error(`no job was submitted for ${task}`);
    }
    return found;
  }

  private createLeader(): Leader {
    const { epoch } = this;
    const leader: Leader = new Leader({
      processorCores: 1,
      observe: () => undefined,
      epoch,
      store: this.store,
      storeLimits: this.store.limits,
      ...this.surroundings,
      leaseMilliseconds: LEASE_MILLISECONDS,
      isValid: () => epoch === this.epoch,
      onFenced: () => {
        leader.close();
      },
      entries: () => [],
    });
    void leader.open();
    return leader;
  }

  private createVm(name: string): SimulatedVm {
    const minion = new FakeMinion(
      name,
      this.runChecker,
      {
        random: this.random,
        lateStartShare: () => this.lateShare,
        workMilliseconds: () =>
          this.workMilliseconds + this.random.next() * 400,
      },
      CAPACITY_MILLICORES,
    );
    const vm = new SimulatedVm(name, minion);
    vm.driver = this.createDriver(vm);
    vm.driver.updateMinion(minion.self);
    return vm;
  }

  private createDriver(vm: SimulatedVm): MinionDriver {
    const driver: MinionDriver = new MinionDriver({
      imageStatistics: new ImageMemory(),
      client: vm.minion,
      ...this.surroundings,
      onFenced: () => undefined,
      onTokenNeeded: () => {
        this.disconnect(vm);
      },
      report: report => {
        const { session, leader, driver: current } = vm;
        if (session?.open && current === driver) {
          leader?.agentStreams.handleReport(session, report);
          leader?.agentStreams.renewLease(session, this.time.steady());
        }
      },
    });
    this.drivers.push(driver);
    void driver.run();
    return driver;
  }

  private sendHeartbeats(): void {
    for (const vm of this.vms) {
      if (performance.now() < vm.unreachableUntil) {
        continue;
      }
      if (vm.session?.open) {
        vm.leader?.agentStreams.renewLease(vm.session, this.time.steady());
      } else if (this.leader.isReady()) {
        this.connect(vm);
      }
    }
  }

  private connect(vm: SimulatedVm): void {
    const { driver } = vm;
    const output = new Writable({
      write: (chunk: Buffer, _encoding, callback) => {
        const message = JSON.parse(chunk.toString('utf8')) as LeaderMessage;
        setTimeout(() => {
          if (
            vm.driver === driver &&
            performance.now() >= vm.unreachableUntil
          ) {
            driver?.handleMessage(message);
          }
        }, 1);
        callback();
      },
    });
    vm.leader = this.leader;
    vm.session = vm.leader.agentStreams.attach(
      token => new AgentSession(vm.name, token, output, this.time.now()),
    );
  }

  private disconnect(vm: SimulatedVm): void {
    if (vm.session !== undefined) {
      vm.leader?.agentStreams.detach(vm.session);
      vm.session.close();
      vm.session = undefined;
    }
  }
}
