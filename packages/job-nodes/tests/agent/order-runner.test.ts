import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import t from 'tap';

import type { MinionClient } from '../../src/agent/minion-client.js';
import type { MinionLife } from '../../src/agent/minion-life.js';
import { OrderRunner } from '../../src/agent/order-runner.js';
import { anchoredTime } from '../../src/time/anchored-time.js';
import { pause } from '../../src/time/pause.js';
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

function makeLife(draining = false): MinionLife {
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

interface Scripted {
  readonly runner: OrderRunner;
  readonly calls: string[];
}

/** A runner over a minion that answers starts and stops as told. */
function script(starts: readonly Answer[], stops: readonly Answer[]): Scripted {
  const calls: string[] = [];
  const left = { starts: [...starts], stops: [...stops] };
  const noAnswer = (): Promise<never> =>
    Promise.reject(new PeerUnreachableError('minion.call', 'm', 'no answer'));
  const client = {
    start: () => {
      const answer = left.starts.shift() ?? 'started';
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
      const answer = left.stops.shift() ?? 'stopped';
      calls.push(`stop ${answer}`);
      return answer === 'none' ? noAnswer() : Promise.resolve();
    },
  } as unknown as MinionClient;
  const runner = new OrderRunner({
    client,
    time: anchoredTime(),
    logger: quietLogger,
    expiry: () => 1000,
    onRefusal: () => undefined,
    onStarted: () => undefined,
  });
  runner.reset(TOKEN);
  return { runner, calls };
}

t.test('a refusal after a try without an answer is not believed', async t => {
  for (const reason of ['old', 'room', 'late']) {
    const { runner, calls } = script(['none', reason], []);
    runner.start(makeLife(), [ORDER]);
    await pause(200);
    t.same(runner.refusals(), [], `${reason}: the first try may have begun`);
    t.equal(calls.at(-1), 'stop stopped', `${reason}: the run is stopped`);
    runner.resolveRevoked(new Set([KEY]), performance.now());
    t.same(runner.refusals(), [], `${reason}: the lists show that it began`);
  }
});

t.test(
  'a start that lists show not to have begun counts as refused',
  async t => {
    const { runner } = script(['none', 'room'], []);
    runner.start(makeLife(), [ORDER]);
    await pause(200);
    runner.resolveRevoked(new Set(), performance.now() - 1000);
    t.same(
      runner.refusals(),
      [],
      'lists asked for before the stop prove nothing',
    );
    runner.resolveRevoked(new Set(), performance.now());
    t.equal(runner.refusals().length, 1);
  },
);

t.test('a refusal of the first try is believed', async t => {
  const { runner, calls } = script(['room'], []);
  runner.start(makeLife(), [ORDER]);
  await pause(20);
  t.equal(runner.refusals()[0]?.reason, 'room');
  t.same(calls, ['start room']);
});

t.test('a start is revoked however long the minion is silent', async t => {
  const silent: Answer[] = Array.from({ length: 6 }, () => 'none');
  const { runner } = script(['none', 'none'], silent);
  runner.start(makeLife(), [ORDER]);
  await pause(2500);
  runner.resolveRevoked(new Set(), performance.now());
  t.equal(runner.refusals().length, 1);
});

t.test('orders of an earlier stream are not carried on', async t => {
  const silent: Answer[] = Array.from({ length: 50 }, () => 'none');
  const { runner, calls } = script(['none', 'none'], silent);
  runner.start(makeLife(), [ORDER]);
  await pause(100);
  runner.reset(TOKEN + 1);
  await pause(300);
  const before = calls.length;
  await pause(600);
  t.equal(calls.length, before);
  t.same(runner.refusals(), []);
});

t.test('a minion that drains, or is not there, takes no start', async t => {
  for (const life of [makeLife(true), undefined]) {
    const { runner, calls } = script([], []);
    runner.start(life, [ORDER]);
    await pause(5);
    t.equal(runner.refusals().length, 1);
    t.same(calls, []);
  }
});
