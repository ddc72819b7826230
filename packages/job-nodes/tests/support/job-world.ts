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
import { AgentPlace } from './agent-place.js';
import { FakeMinion } from './fake-minion.js';
import { MemoryStore } from './memory-store.js';
import { quietLogger } from './quiet-logger.js';
import { Witness } from './witness.js';

const LEASE_MILLISECONDS = 1200;

const CAPACITY = 4000;

const BEAT_MILLISECONDS = 100;

export const QUEUE = {
  name: 'queue',
  service: 'service',
  priority: 0,
  maximumAttempts: 1000,
  slackFactor: 2,
  targetLatencyMilliseconds: 500,
};

/** Real leaders and drivers, over fake minions, a store and links. */
export class JobWorld {
  public readonly store: MemoryStore;

  public readonly witness: Witness;

  public readonly random: RandomSource;

  public lateShare = 0;

  public leader: Leader;

  public readonly agents: AgentPlace[];

  private readonly time = anchoredTime();

  private readonly specifications = new Map<string, JobSpecification>();

  /** All that ever were: replaced ones go on, as if frozen and woken. */
  private readonly drivers: MinionDriver[] = [];

  private epoch = 1;

  private readonly beats: NodeJS.Timeout;

  public constructor(seed: number, agentCount: number) {
    this.random = seededRandom(seed);
    this.store = new MemoryStore(this.random);
    this.witness = new Witness(task => this.stepOf(task), CAPACITY);
    this.leader = this.createLeader();
    this.agents = Array.from({ length: agentCount }, (_, index) =>
      this.createAgent(`agent-${index}`),
    );
    this.beats = setInterval(() => {
      this.beat();
    }, BEAT_MILLISECONDS);
  }

  /** Ends the timers that keep the process. */
  public close(): void {
    clearInterval(this.beats);
    this.drivers.forEach(driver => {
      driver.stop();
    });
    this.leader.close();
  }

  /** Hands a job in, again at each leader, until it is accepted. */
  public async submit(specification: JobSpecification): Promise<void> {
    this.specifications.set(specification.identifier, specification);
    const call: JobCall = { kind: 'submit', specification, queue: QUEUE };
    while ((await this.ask(call)).kind !== 'accepted') {
      await pause(30);
    }
  }

  /** Asks the present leader. */
  public async ask(call: JobCall): Promise<JobAnswer> {
    return this.leader.answer(call);
  }

  /** Another leader takes over; the earlier one lives on for a while. */
  public changeLeader(): void {
    const earlier = this.leader;
    this.epoch += 1;
    this.leader = this.createLeader();
    void pause(this.random.next() * 400).then(() => {
      earlier.close();
    });
  }

  /** An agent's process is replaced; its minion lives on. */
  public restartAgent(place: AgentPlace): void {
    this.disconnect(place);
    place.driver = this.createDriver(place);
    place.driver.updateMinion(place.minion.self);
  }

  /** A minion's life ends, and its next one begins. */
  public crashMinion(place: AgentPlace): void {
    place.minion.crash();
    place.driver?.updateMinion(place.minion.self);
  }

  /** An agent can't reach the leader for a while. */
  public cutAgent(place: AgentPlace, milliseconds: number): void {
    place.cutUntil = performance.now() + milliseconds;
    this.disconnect(place);
  }

  private stepOf(task: string): StepSpecification {
    const [job = '', , step = ''] = task.split('.');
    const found = this.specifications.get(job)?.steps[Number(step)];
    if (found === undefined) {
      throw new Error(`nobody handed in ${task}`);
    }
    return found;
  }

  private createLeader(): Leader {
    const { epoch } = this;
    const leader: Leader = new Leader({
      observe: () => undefined,
      epoch,
      store: this.store,
      time: this.time,
      logger: quietLogger,
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

  private createAgent(name: string): AgentPlace {
    const minion = new FakeMinion(
      name,
      this.witness,
      {
        random: this.random,
        lateStartShare: () => this.lateShare,
        workMilliseconds: () => 50 + this.random.next() * 400,
      },
      CAPACITY,
    );
    const place = new AgentPlace(name, minion);
    place.driver = this.createDriver(place);
    place.driver.updateMinion(minion.self);
    return place;
  }

  private createDriver(place: AgentPlace): MinionDriver {
    const driver: MinionDriver = new MinionDriver({
      imageStatistics: new ImageMemory(),
      client: place.minion,
      time: this.time,
      logger: quietLogger,
      onFenced: () => undefined,
      report: report => {
        const { session, leader, driver: current } = place;
        if (session?.open && current === driver) {
          leader?.agents.report(session, report);
          leader?.agents.hear(session, this.time.steady());
        }
      },
    });
    this.drivers.push(driver);
    void driver.run();
    return driver;
  }

  private beat(): void {
    for (const place of this.agents) {
      if (performance.now() < place.cutUntil) {
        continue;
      }
      if (place.session?.open) {
        place.leader?.agents.hear(place.session, this.time.steady());
      } else if (this.leader.isReady()) {
        this.connect(place);
      }
    }
  }

  private connect(place: AgentPlace): void {
    const { driver } = place;
    const output = new Writable({
      write: (chunk: Buffer, _encoding, callback) => {
        const message = JSON.parse(chunk.toString('utf8')) as LeaderMessage;
        setTimeout(() => {
          if (place.driver === driver && performance.now() >= place.cutUntil) {
            driver?.handleMessage(message);
          }
        }, 1);
        callback();
      },
    });
    place.leader = this.leader;
    place.session = place.leader.agents.attach(
      token => new AgentSession(place.name, token, output, this.time.now()),
    );
  }

  private disconnect(place: AgentPlace): void {
    if (place.session !== undefined) {
      place.leader?.agents.detach(place.session);
      place.session.close();
      place.session = undefined;
    }
  }
}
