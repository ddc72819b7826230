import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import type { Test } from 'tap';

import type { JobAnswer } from '../../src/leader/job-answer.js';
import { Leader } from '../../src/leader/leader.js';
import type { LeaderMessage } from '../../src/lines/leader-message.js';
import { anchoredTime } from '../../src/time/anchored-time.js';
import { HarnessAgent } from './harness-agent.js';
import { makeSpecification, makeStep } from './make-specification.js';
import { MemoryStore } from './memory-store.js';
import { QUEUE_SETTINGS } from './queue-settings.js';
import { quietLogger } from './quiet-logger.js';

/** A job of one step of two tasks. */
export const SPECIFICATION = makeSpecification('job', [makeStep(2, 100)]);

const CONTACT_INTERVAL_MILLISECONDS = 100;

/** A leader over an in-memory store, with agents simulated by the test. */
export class LeaderHarness {
  public valid = true;

  public readonly store = new MemoryStore(seededRandom(1));

  public readonly time = anchoredTime();

  public readonly leader: Leader;

  private readonly agents: HarnessAgent[] = [];

  public constructor(epoch = 1, store?: MemoryStore) {
    this.store = store ?? this.store;
    this.leader = new Leader({
      processorCores: 1,
      observe: () => undefined,
      epoch,
      store: this.store,
      storeLimits: this.store.limits,
      time: this.time,
      logger: quietLogger,
      leaseMilliseconds: 1000,
      minionLimits: {
        longestLeaseMilliseconds: 1000,
        longestCallDelayMilliseconds: 0,
      },
      isValid: () => this.valid,
      onFenced: () => undefined,
      entries: () => [],
    });
  }

  public async open(): Promise<void> {
    await this.leader.open();
    this.attachAgent('agent');
  }

  /** Opens the stream of a further agent, or a new one of the same agent. */
  public attachAgent(name: string): HarnessAgent {
    const agent = new HarnessAgent(this.leader, name, this.time.now());
    this.agents.push(agent);
    return agent;
  }

  /** Keeps sending messages of all agents until the returned function runs. */
  public keepContact(): () => void {
    const timer = setInterval(() => {
      for (const { session } of this.agents) {
        this.leader.agentStreams.renewLease(session, this.time.steady());
      }
    }, CONTACT_INTERVAL_MILLISECONDS);
    return () => {
      clearInterval(timer);
    };
  }

  /** Messages to the first agent. */
  public get messages(): readonly LeaderMessage[] {
    return this.agents[0]?.messages ?? [];
  }

  /** Sends a report of the first agent. */
  public report(fields: Partial<AgentReport>): void {
    this.agents[0]?.report(fields);
  }

  public submit(): Promise<JobAnswer> {
    return this.leader.answer({
      kind: 'submit',
      specification: SPECIFICATION,
      queue: QUEUE_SETTINGS,
    });
  }

  /** Tasks that the first agent was ordered to start. */
  public startedTasks(): readonly string[] {
    return this.agents[0]?.startedTasks() ?? [];
  }
}

/** Opens a harness that is closed at the end of the test. */
export async function openLeaderHarness(
  t: Test,
  epoch = 1,
  store?: MemoryStore,
): Promise<LeaderHarness> {
  const harness = new LeaderHarness(epoch, store);
  t.teardown(() => {
    harness.leader.close();
  });
  await harness.open();
  return harness;
}
