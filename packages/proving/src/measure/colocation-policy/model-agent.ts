import { Writable } from 'node:stream';

import type { RandomSource } from '@basilcourse/foundation/random/random-source';
import { ImageMemory } from '@basilcourse/job-nodes/agent/image-memory';
import type { MinionClient } from '@basilcourse/job-nodes/agent/minion-client';
import type { MinionIncarnation } from '@basilcourse/job-nodes/agent/minion-incarnation';
import { Throttler } from '@basilcourse/job-nodes/agent/throttler';
import { AgentSession } from '@basilcourse/job-nodes/leader/agent-session';
import type { LeaderState } from '@basilcourse/job-nodes/leader/leader-state';
import type { LeaderMessage } from '@basilcourse/job-nodes/lines/leader-message';
import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import { traitsOf } from '@basilcourse/jobs/model/traits-of';
import type { applyReport } from '@basilcourse/jobs/reconcile/apply-report';
import type { TaskEntry } from '@basilcourse/jobs/state/task-entry';

import { silentLogger } from '../silent-logger.js';
import type { ColocationLoad } from './colocation-load.js';
import { ModelMinion } from './model-minion.js';
import type { Policy } from './policy.js';

const REPORT_INTERVAL_MILLISECONDS = 500;

const CAPACITY = {
  processorMillicores: 32_000,
  memoryMegabytes: 128_000,
  accelerators: 0,
};

/** The agent of a model minion, with the decisions of the real one. */
export class ModelAgent {
  public throttles = 0;

  public readonly name: string;

  public readonly incarnation: string;

  private readonly minion: ModelMinion;

  private readonly state: LeaderState;

  private readonly estimates = new ImageMemory();

  private readonly throttler: Throttler;

  private readonly session: AgentSession;

  private readonly policy: Policy;

  private readonly self: MinionIncarnation;

  private now = 0;

  private reportedAt = 0;

  public constructor(
    name: string,
    state: LeaderState,
    load: ColocationLoad,
    policy: Policy,
    random: RandomSource,
  ) {
    this.name = name;
    this.incarnation = `${name}|1`;
    this.state = state;
    this.policy = policy;
    this.minion = new ModelMinion(load, random);
    this.self = this.describe();
    this.throttler = new Throttler({
      client: this.client(),
      estimates: this.estimates,
      logger: silentLogger,
    });
    this.session = new AgentSession(name, 1, this.receiver(), 0, true);
    state.sessions.attach(this.session);
    state.sessions.updateMinion(this.session, this.report(), 0);
    this.reportedAt = -random.next() * REPORT_INTERVAL_MILLISECONDS;
  }

  public get violatedMilliseconds(): number {
    return this.minion.violatedMilliseconds;
  }

  /** Lets time pass; reports to the leader's state when it is time. */
  public advance(
    milliseconds: number,
    now: number,
    apply: typeof applyReport,
  ): void {
    this.now = now;
    this.minion.advance(milliseconds, now);
    if (now - this.reportedAt < REPORT_INTERVAL_MILLISECONDS) {
      return;
    }
    this.reportedAt = now;
    const report = this.report();
    const { table, sessions, interference } = this.state;
    const entry = sessions.updateMinion(this.session, report, now);
    if (entry !== undefined) {
      interference.applyReport(table, this.session, report, now);
      apply(table, entry, report, now);
    }
    if (this.policy.throttles) {
      void this.throttler.apply(this.self, report.running, 1, now);
    }
  }

  /** Starts a task that was assigned here. */
  public start(task: TaskEntry): void {
    this.minion.start(task);
    this.throttler.recordTraits(task.name, traitsOf(task.specification));
    if (this.policy.throttles) {
      const { name, run } = task;
      void this.throttler.started(this.self, { task: name, run }, [], 1);
    }
  }

  /** Stops a task. */
  public stop(task: TaskEntry): void {
    this.minion.stop(task.name);
  }

  private report(): AgentReport {
    return {
      fencingToken: 1,
      minion: this.self.description,
      running: this.minion.list(),
      ends: this.minion.takeEnds(),
      refusals: [],
      gone: [],
    };
  }

  private describe(): MinionIncarnation {
    const { incarnation } = this;
    return {
      identifier: incarnation,
      description: {
        incarnation,
        service: 'service',
        zone: 'zone',
        capacity: CAPACITY,
        labels: [],
        draining: false,
        remainingMilliseconds: 0,
      },
    };
  }

  private client(): MinionClient {
    return {
      start: () => Promise.resolve({ kind: 'started' }),
      stop: () => Promise.resolve(),
      poll: () =>
        Promise.resolve({
          clock: 0,
          running: [],
          ends: [],
          hasMoreEnds: false,
        }),
      throttle: (_minion, { task }, percentage) => {
        this.throttles += 1;
        this.minion.throttle(task, percentage / 100);
        return Promise.resolve();
      },
    };
  }

  private receiver(): Writable {
    return new Writable({
      write: (chunk: Buffer, _encoding, callback) => {
        this.receive(JSON.parse(chunk.toString('utf8')) as LeaderMessage);
        callback();
      },
    });
  }

  private receive(message: LeaderMessage): void {
    if (message.kind === 'images') {
      this.estimates.apply(message.images);
    }
    if (message.kind === 'loads') {
      const loads = this.policy.forecasts
        ? message.loads
        : message.loads.map(({ job, floor, load }) => ({ job, floor, load }));
      this.estimates.loads.apply(loads, this.now);
    }
  }
}
