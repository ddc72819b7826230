import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import type { StartOrder } from '@basilcourse/jobs/model/start-order';
import t from 'tap';

import type { MinionClient } from '../../src/agent/minion-client.js';
import type { MinionIncarnation } from '../../src/agent/minion-incarnation.js';
import { OrderRunner } from '../../src/agent/order-runner.js';
import { UnsettledStarts } from '../../src/agent/unsettled-starts.js';
import { anchoredTime } from '../../src/time/anchored-time.js';
import { pause } from '../../src/time/pause.js';
import { makeMinion } from '../support/make-minion.js';
import { MINION_LIMITS } from '../support/minion-limits.js';
import { quietLogger } from '../support/quiet-logger.js';

const MINION = makeMinion('vm', 1, 1000);

function makeOrders(count: number): readonly StartOrder[] {
  return Array.from({ length: count }, (_, index) => ({
    task: `j.0.0.${index}`,
    run: 1,
    payload: '',
    checkpoint: '',
    traits: {
      image: '',
      tailTargetMilliseconds: 0,
      filling: false,
      processorMillicores: 100,
    },
  }));
}

function createRunner(
  client: Partial<MinionClient>,
  expiry: () => number | undefined = () => 1000,
  unsettled = new UnsettledStarts(MINION_LIMITS),
): OrderRunner {
  const runner = new OrderRunner({
    client: client as MinionClient,
    time: anchoredTime(),
    unsettled,
    isSameClock: () => true,
    logger: quietLogger,
    expiry,
    onRefusal: () => undefined,
    onStarted: () => undefined,
  });
  runner.reset(7);
  return runner;
}

// Guards against starts that time out while they wait for a connection.
t.test('many starts call the minion a few at a time', async t => {
  let calling = 0;
  let mostCalling = 0;
  const started: string[] = [];
  const runner = createRunner({
    start: async (_minion: MinionIncarnation, { task }: StartOrder) => {
      calling += 1;
      mostCalling = Math.max(mostCalling, calling);
      await pause(1);
      calling -= 1;
      started.push(task);
      return { kind: 'started' };
    },
  });
  const orders = makeOrders(200);
  runner.start(MINION, orders);
  await pause(400);
  t.same(
    started,
    orders.map(({ task }) => task),
  );
  t.ok(mostCalling <= 4, `${mostCalling} calls at once`);
});

t.test('a start that no connection carried counts as refused', async t => {
  const calls: string[] = [];
  const runner = createRunner({
    start: () => {
      calls.push('start');
      const reason = Object.assign(new Error(), { code: 'ECONNREFUSED' });
      return Promise.reject(
        new PeerUnreachableError('minion.start', 'm', reason),
      );
    },
    stop: () => {
      calls.push('stop');
      return Promise.resolve();
    },
  });
  runner.start(MINION, makeOrders(1));
  await pause(20);
  t.equal(runner.refusals().length, 1, 'it has not begun, and never will');
  t.same(calls, ['start']);
});

t.test('starts that wait for a silent minion are refused unsent', async t => {
  let silent = false;
  let calls = 0;
  const runner = createRunner(
    {
      start: async () => {
        calls += 1;
        await pause(50);
        silent = true;
        throw new PeerUnreachableError('minion.start', 'm', 'no answer');
      },
      stop: () => pause(10_000),
    },
    () => (silent ? undefined : 1000),
  );
  runner.start(MINION, makeOrders(50));
  await pause(300);
  t.ok(calls <= 6, `${calls} calls`);
  t.equal(runner.refusals().length, 50 - calls, 'the others never began');
});

// Guards against a run that a later start without an answer kept alive.
t.test(
  'a start without an answer may prolong what began before it',
  async t => {
    const unsettled = new UnsettledStarts(MINION_LIMITS);
    const order = { task: 'j.0.0.9', run: 1 };
    const before = performance.now() - 1000;
    unsettled.add({ order, fencingToken: 7, incarnation: 'x', sentAt: before });
    const runner = createRunner(
      {
        start: () =>
          Promise.reject(new PeerUnreachableError('minion.start', 'm', 'none')),
        stop: () => Promise.resolve(),
      },
      () => 1000,
      unsettled,
    );
    runner.start(MINION, makeOrders(1));
    await pause(20);
    const longest = 1800 + 4000 * 1.02 + 400;
    unsettled.expire(before + longest + 500);
    t.ok(unsettled.tasks(undefined).includes(order.task));
  },
);
