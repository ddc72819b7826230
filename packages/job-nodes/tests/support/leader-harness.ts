import { PassThrough } from 'node:stream';

import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import type { Test } from 'tap';

import { AgentSession } from '../../src/leader/agent-session.js';
import type { JobAnswer } from '../../src/leader/job-answer.js';
import { Leader } from '../../src/leader/leader.js';
import type { LeaderMessage } from '../../src/lines/leader-message.js';
import { anchoredTime } from '../../src/time/anchored-time.js';
import { QUEUE_SETTINGS } from './job-simulation.js';
import { makeSpecification, makeStep } from './make-specification.js';
import { MemoryStore } from './memory-store.js';
import { quietLogger } from './quiet-logger.js';

/** A job of one step of two tasks. */
export const SPECIFICATION = makeSpecification('job', [makeStep(2, 100)]);

/** A leader over an in-memory store, with one agent simulated by the test. */
export class LeaderHarness {
  public valid = true;

  public readonly store = new MemoryStore(seededRandom(1));

  public readonly messages: LeaderMessage[] = [];

  public readonly time = anchoredTime();

  public readonly leader: Leader;

  public session: AgentSession | undefined;

  public constructor(epoch = 1, store?: MemoryStore) {
    this.store = store ?? this.store;
    this.leader = new Leader({
      observe: () => undefined,
      epoch,
      store: this.store,
      time: this.time,
      logger: quietLogger,
      leaseMilliseconds: 1000,
      isValid: () => this.valid,
      onFenced: () => undefined,
      entries: () => [],
    });
  }

  public async open(): Promise<void> {
    await this.leader.open();
    const output = new PassThrough();
    output.on('data', (chunk: Buffer) => {
      const lines = chunk.toString('utf8').split('\n').filter(Boolean);
      this.messages.push(
        ...lines.map(line => JSON.parse(line) as LeaderMessage),
      );
    });
    this.session = this.leader.agentStreams.attach(
      token => new AgentSession('agent', token, output, this.time.now()),
    );
  }

  public report(fields: Partial<AgentReport>): void {
    if (this.session === undefined) {
      return;
    }
    this.leader.agentStreams.handleReport(this.session, {
      fencingToken: this.session.fencingToken,
      minion: {
        incarnation: 'agent|minion|1',
        service: 'service',
        zone: 'zone',
        capacity: {
          processorMillicores: 4000,
          memoryMegabytes: 1000,
          accelerators: 0,
        },
        labels: [],
        draining: false,
        remainingMilliseconds: 0,
      },
      running: [],
      ends: [],
      refusals: [],
      gone: [],
      ...fields,
    });
  }

  public submit(): Promise<JobAnswer> {
    return this.leader.answer({
      kind: 'submit',
      specification: SPECIFICATION,
      queue: QUEUE_SETTINGS,
    });
  }

  public startedTasks(): readonly string[] {
    return this.messages.flatMap(message =>
      message.kind === 'starts' ? message.starts.map(({ task }) => task) : [],
    );
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
