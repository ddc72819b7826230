import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import t from 'tap';

import type { MinionClient } from '../../src/agent/minion-client.js';
import type { MinionIncarnation } from '../../src/agent/minion-incarnation.js';
import { OrderRunner } from '../../src/agent/order-runner.js';
import { UnsettledStarts } from '../../src/agent/unsettled-starts.js';
import { anchoredTime } from '../../src/time/anchored-time.js';
import { pause } from '../../src/time/pause.js';
import { MINION_LIMITS } from '../support/minion-limits.js';
import { quietLogger } from '../support/quiet-logger.js';

const TOKEN = 7;

const ORDER = {
  task: 'j.0.0.0',
  run: 1,
  payload: '',
  checkpoint: '',
  traits: {
    image: '',
    tailTargetMilliseconds: 0,
    filling: false,
    processorMillicores: 100,
  },
};

const KEY = 'j.0.0.0/1';

function makeMinion(draining = false): MinionIncarnation {
  return {
    identifier: 'minion',
    description: {
      incarnation: 'agent|minion|1',
      service: 's',
      zone: 'z',
      capacity: {
        processorMillicores: 1000,
        memoryMegabytes: 1000,
        accelerators: 0,
      },
      labels: [],
      draining,
      remainingMilliseconds: 0,
    },
  };
}

/** `started`, `none` for no answer, or the reason of a refusal. */
type Answer = string;

interface ScriptedRunner {
  readonly runner: OrderRunner;
  readonly calls: string[];
}

/** Creates a runner whose minion gives the listed answers in order. */
function createRunner(
  starts: readonly Answer[],
  stops: readonly Answer[],
): ScriptedRunner {
  const calls: string[] = [];
  const remaining = { starts: [...starts], stops: [...stops] };
  const noAnswer = (): Promise<never> =>
    Promise.reject(new PeerUnreachableError('minion.call', 'm', 'no answer'));
  const client = {
    start: () => {
      const answer = remaining.starts.shift() ?? 'started';
      calls.push(`start ${answer}`);
      if (answer === 'none') {
        return noAnswer();
      }
      return Promise.resolve(
        answer === 'started'
          ? { kind: 'started' as const }
          : { kind: 'refused' as const, reason: answer },
      );
    },
    stop: () => {
      const answer = remaining.stops.shift() ?? 'stopped';
      calls.push(`stop ${answer}`);
      return answer === 'none' ? noAnswer() : Promise.resolve();
    },
  } as unknown as MinionClient;
  const runner = new OrderRunner({
    client,
    time: anchoredTime(),
    unsettled: new UnsettledStarts(MINION_LIMITS),
    isSameClock: () => true,
    logger: quietLogger,
    expiry: () => 1000,
    onRefusal: () => undefined,
    onStarted: () => undefined,
  });
  runner.reset(TOKEN);
  return { runner, calls };
}

t.test('a refusal after a try without an answer is not final', async t => {
  for (const reason of ['old', 'room', 'late']) {
    const { runner, calls } = createRunner(['none', reason], []);
    runner.start(makeMinion(), [ORDER]);
    await pause(200);
    t.same(runner.refusals(), [], `${reason}: the first try may have begun`);
    t.equal(calls.at(-1), 'stop stopped', `${reason}: the run is stopped`);
    runner.resolveRevoked(new Set([KEY]), performance.now());
    t.same(runner.refusals(), [], `${reason}: the poll shows that it began`);
  }
});

t.test('a revoked start that no poll lists counts as refused', async t => {
  const { runner } = createRunner(['none', 'room'], []);
  runner.start(makeMinion(), [ORDER]);
  await pause(200);
  runner.resolveRevoked(new Set(), performance.now() - 1000);
  t.same(runner.refusals(), [], 'polls from before the stop are ignored');
  runner.resolveRevoked(new Set(), performance.now());
  t.equal(runner.refusals().length, 1);
});

t.test('a refusal of the first try is final', async t => {
  const { runner, calls } = createRunner(['room'], []);
  runner.start(makeMinion(), [ORDER]);
  await pause(20);
  t.equal(runner.refusals()[0]?.reason, 'room');
  t.same(calls, ['start room']);
});

t.test(
  'a start is revoked, however long the minion does not respond',
  async t => {
    const unanswered: Answer[] = Array.from({ length: 6 }, () => 'none');
    const { runner } = createRunner(['none', 'none'], unanswered);
    runner.start(makeMinion(), [ORDER]);
    await pause(2500);
    runner.resolveRevoked(new Set(), performance.now());
    t.equal(runner.refusals().length, 1);
  },
);

t.test('orders of an earlier stream are abandoned', async t => {
  const unanswered: Answer[] = Array.from({ length: 50 }, () => 'none');
  const { runner, calls } = createRunner(['none', 'none'], unanswered);
  runner.start(makeMinion(), [ORDER]);
  await pause(100);
  runner.reset(TOKEN + 1);
  await pause(300);
  const before = calls.length;
  await pause(600);
  t.equal(calls.length, before);
  t.same(runner.refusals(), []);
});

t.test('a draining or absent minion accepts no start', async t => {
  for (const minion of [makeMinion(true), undefined]) {
    const { runner, calls } = createRunner([], []);
    runner.start(minion, [ORDER]);
    await pause(5);
    t.equal(runner.refusals().length, 1);
    t.same(calls, []);
  }
});
