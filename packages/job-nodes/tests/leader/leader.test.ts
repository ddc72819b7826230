import { PassThrough } from 'node:stream';

import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import t from 'tap';

import { AgentSession } from '../../src/leader/agent-session.js';
import type { JobAnswer } from '../../src/leader/job-answer.js';
import { Leader } from '../../src/leader/leader.js';
import type { LeaderMessage } from '../../src/lines/leader-message.js';
import { anchoredTime } from '../../src/time/anchored-time.js';
import { pause } from '../../src/time/pause.js';
import { QUEUE } from '../support/job-world.js';
import { makeSpecification, makeStep } from '../support/make-specification.js';
import { MemoryStore } from '../support/memory-store.js';
import { quietLogger } from '../support/quiet-logger.js';

const SPECIFICATION = makeSpecification('job', [makeStep(2, 100)]);

class Bench {
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
    this.session = this.leader.agents.attach(
      token => new AgentSession('agent', token, output, this.time.now()),
    );
  }

  public report(fields: Partial<AgentReport>): void {
    if (this.session === undefined) {
      return;
    }
    this.leader.agents.report(this.session, {
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
      queue: QUEUE,
    });
  }

  public startedTasks(): readonly string[] {
    return this.messages.flatMap(message =>
      message.kind === 'starts' ? message.starts.map(({ task }) => task) : [],
    );
  }
}

t.test('a start goes out only once it is stored', async t => {
  const bench = new Bench();
  t.teardown(() => {
    bench.leader.close();
  });
  await bench.open();
  await bench.submit();
  bench.store.down = true;
  bench.report({});
  await pause(150);
  t.same(bench.startedTasks(), []);
  bench.store.down = false;
  await pause(250);
  t.same(bench.startedTasks(), ['job.0.0.0', 'job.0.0.1']);
});

t.test('a stored start outlasts a doubt about the lead', async t => {
  const bench = new Bench();
  t.teardown(() => {
    bench.leader.close();
  });
  await bench.open();
  await bench.submit();
  bench.store.down = true;
  bench.report({});
  await pause(60);
  bench.store.down = false;
  bench.valid = false;
  await pause(250);
  t.same(bench.startedTasks(), [], 'none while the lead is in doubt');
  bench.valid = true;
  await pause(250);
  t.same(bench.startedTasks(), ['job.0.0.0', 'job.0.0.1']);
});

t.test('a run that was stopped resumes from its checkpoint', async t => {
  const bench = new Bench();
  t.teardown(() => {
    bench.leader.close();
  });
  await bench.open();
  await bench.submit();
  bench.report({});
  await pause(150);
  const task = 'job.0.0.0';
  const other = { task: 'job.0.0.1', run: 1, checkpoint: '', percent: 1 };
  bench.report({
    running: [{ ...other, gauge: 0 }],
    ends: [{ number: 1, task, run: 1, reason: 'stopped', checkpoint: 'half' }],
  });
  await pause(250);
  const orders = bench.messages.flatMap(message =>
    message.kind === 'starts' ? message.starts : [],
  );
  t.same(
    orders
      .filter(order => order.task === task)
      .map(({ run, checkpoint }) => ({ run, checkpoint })),
    [
      { run: 1, checkpoint: '' },
      { run: 2, checkpoint: 'half' },
    ],
  );
});

t.test('the same job handed in again stays one job', async t => {
  const bench = new Bench();
  t.teardown(() => {
    bench.leader.close();
  });
  await bench.open();
  const answers = await Promise.all([bench.submit(), bench.submit()]);
  t.same(answers, [{ kind: 'accepted' }, { kind: 'accepted' }]);
  bench.report({});
  await pause(150);
  t.equal(bench.startedTasks().length, 2);
});

t.test('a successor knows jobs, states and cancellations', async t => {
  const first = new Bench();
  await first.open();
  await first.submit();
  const call = { identifier: 'job', queue: 'queue' };
  t.same(await first.leader.answer({ kind: 'cancel', ...call }), {
    kind: 'cancelled',
  });
  const second = new Bench(2, first.store);
  t.teardown(() => {
    first.leader.close();
    second.leader.close();
  });
  await second.open();
  t.same(await second.leader.answer({ kind: 'status', ...call }), {
    kind: 'status',
    status: 'cancelled',
  });
  t.same(
    await second.leader.answer({
      kind: 'status',
      identifier: 'other',
      queue: 'queue',
    }),
    { kind: 'no-such-job' },
  );
  const again = await first.leader.answer({
    kind: 'submit',
    specification: { ...SPECIFICATION, identifier: 'later' },
    queue: QUEUE,
  });
  t.same(again, { kind: 'not-leading' }, 'the earlier leader accepts nothing');
});

t.test(
  'nobody is told that a job is unknown while the lead is in doubt',
  async t => {
    const bench = new Bench();
    t.teardown(() => {
      bench.leader.close();
    });
    await bench.open();
    bench.valid = false;
    const call = { kind: 'status', identifier: 'x', queue: 'queue' } as const;
    t.same(await bench.leader.answer(call), { kind: 'not-leading' });
  },
);
