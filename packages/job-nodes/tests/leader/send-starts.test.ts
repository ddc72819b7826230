import { Writable } from 'node:stream';

import t from 'tap';

import { AgentSession } from '../../src/leader/agent-session.js';
import type { LeaderMessage } from '../../src/lines/leader-message.js';
import { pause } from '../../src/time/pause.js';
import { HarnessAgent } from '../support/harness-agent.js';
import {
  type LeaderHarness,
  openLeaderHarness,
} from '../support/leader-harness.js';
import { makeSpecification, makeStep } from '../support/make-specification.js';
import { QUEUE_SETTINGS } from '../support/queue-settings.js';

/** The tests are about what arrives, not about when. */
const START_TIMEOUT_MILLISECONDS = 10_000;

const TASKS = 300;

/** The starts of all tasks come to 2.4 MB, as quotes are escaped in JSON. */
const PAYLOAD = '"'.repeat(4000);

/** An agent reads lines of up to 4 MiB; shorter ones do not delay others. */
const LONGEST_LINE = 256 * 1024;

/** The leader's buffer for an agent that does not read. */
const MOST_UNSENT_BYTES = 512 * 1024;

async function submitLargeJob(harness: LeaderHarness): Promise<void> {
  const step = { ...makeStep(TASKS, 1), memoryMegabytes: 1 };
  await harness.leader.answer({
    kind: 'submit',
    specification: { ...makeSpecification('job', [step]), payload: PAYLOAD },
    queue: QUEUE_SETTINGS,
  });
}

// Guards against jobs that never run, as their starts close the agent's stream.
t.test('starts of more than 1 MiB reach the agent', async t => {
  const harness = await openLeaderHarness(t);
  await submitLargeJob(harness);
  harness.report({});
  await pause(600);
  t.equal(new Set(harness.startedTasks()).size, TASKS);
  t.equal(harness.startedTasks().length, TASKS, 'each is sent once');
  const longest = Math.max(
    ...harness.messages.map(message => JSON.stringify(message).length),
  );
  t.ok(longest < LONGEST_LINE, `a line of ${longest} characters`);
});

t.test('starts with long texts are sent in shorter messages', async t => {
  const harness = await openLeaderHarness(t);
  const step = { ...makeStep(64, 1), image: 'i'.repeat(20_000) };
  await harness.leader.answer({
    kind: 'submit',
    specification: makeSpecification('job', [{ ...step, memoryMegabytes: 1 }]),
    queue: QUEUE_SETTINGS,
  });
  harness.report({});
  await waitForStarts(() => harness.startedTasks(), 64);
  t.equal(harness.startedTasks().length, 64);
  const longest = Math.max(
    ...harness.messages.map(message => JSON.stringify(message).length),
  );
  t.ok(longest < LONGEST_LINE / 4, `a line of ${longest} characters`);
});

/** Waits until as many starts have reached the agent, and fails after a long time. */
async function waitForStarts(
  startedTasks: () => readonly string[],
  count: number,
): Promise<void> {
  const until = performance.now() + START_TIMEOUT_MILLISECONDS;
  while (startedTasks().length < count && performance.now() < until) {
    await pause(20);
  }
}

/** An agent's end of a stream, which reads only while it is told to. */
class SlowReader extends Writable {
  public reads = false;

  public readonly messages: LeaderMessage[] = [];

  private pending: (() => void) | undefined;

  public override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: () => void,
  ): void {
    this.messages.push(JSON.parse(chunk.toString('utf8')) as LeaderMessage);
    if (this.reads) {
      callback();
    } else {
      this.pending = callback;
    }
  }

  /** Reads what waits, and all that follows. */
  public readAll(): void {
    this.reads = true;
    this.pending?.();
  }

  public startedTasks(): readonly string[] {
    return this.messages.flatMap(message =>
      message.kind === 'starts' ? message.starts.map(({ task }) => task) : [],
    );
  }
}

t.test('starts wait for an agent that reads slowly', async t => {
  const harness = await openLeaderHarness(t);
  const reader = new SlowReader();
  const agent = new HarnessAgent(
    harness.leader,
    'slow',
    harness.time.now(),
    reader,
  );
  await submitLargeJob(harness);
  agent.report({});
  await pause(400);
  t.ok(agent.session.open, 'the stream stays open');
  t.ok(
    reader.writableLength < MOST_UNSENT_BYTES,
    `${reader.writableLength} bytes are unsent`,
  );
  reader.readAll();
  await waitForStarts(() => reader.startedTasks(), TASKS);
  await pause(200);
  t.equal(new Set(reader.startedTasks()).size, TASKS);
  t.equal(reader.startedTasks().length, TASKS, 'each is sent once');
});

t.test('a stream whose agent reads nothing is closed in the end', async t => {
  const session = new AgentSession('agent', 1, new SlowReader(), 0);
  const entries = [PAYLOAD];
  for (let turn = 0; turn < 200 && session.open; turn += 1) {
    session.answerContact(false, 0, entries, 0);
    await pause(1);
  }
  t.notOk(session.open);
});
