import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import t from 'tap';

import { FencedError } from '../../src/agent/fenced-error.js';
import { ImageMemory } from '../../src/agent/image-memory.js';
import type { MinionClient } from '../../src/agent/minion-client.js';
import { MinionDriver } from '../../src/agent/minion-driver.js';
import type { MinionLife } from '../../src/agent/minion-life.js';
import { anchoredTime } from '../../src/time/anchored-time.js';
import { pause } from '../../src/time/pause.js';
import { quietLogger } from '../support/quiet-logger.js';

function makeLife(birth: number): MinionLife {
  return {
    identifier: `minion-${birth}`,
    description: {
      incarnation: `agent|minion|${birth}`,
      service: 's',
      zone: 'z',
      capacity: {
        processorMillicores: 1000,
        memoryMegabytes: 1000,
        accelerators: 0,
      },
      labels: [],
      draining: false,
      remainingMilliseconds: 0,
    },
  };
}

interface Driven {
  readonly driver: MinionDriver;
  readonly reports: AgentReport[];
  readonly looks: number[];
  readonly starts: string[];
  readonly fenced: () => number;
}

/** A driver over a minion that refuses tokens below one. */
function drive(lowestToken: number): Driven {
  const reports: AgentReport[] = [];
  const looks: number[] = [];
  let fenced = 0;
  const starts: string[] = [];
  const client = {
    start: (life: MinionLife, { task }: { readonly task: string }) => {
      starts.push(`${task} on ${life.identifier}`);
      return Promise.resolve({ kind: 'started' });
    },
    look: async (
      _life: MinionLife,
      look: { readonly fencingToken: number },
    ) => {
      await pause(10);
      looks.push(look.fencingToken);
      if (look.fencingToken < lowestToken) {
        throw new FencedError('minion.look', 'm');
      }
      return { clock: 1, running: [], ends: [] };
    },
  } as unknown as MinionClient;
  const driver = new MinionDriver({
    images: new ImageMemory(),
    client,
    time: anchoredTime(),
    logger: quietLogger,
    onFenced: () => {
      fenced += 1;
    },
    report: report => reports.push(report),
  });
  void driver.run();
  return { driver, reports, looks, starts, fenced: () => fenced };
}

function welcome(driver: MinionDriver, fencingToken: number): void {
  driver.take({
    kind: 'welcome',
    epoch: 1,
    fencingToken,
    leaseMilliseconds: 1000,
  });
}

t.test('a token that was refused is not used again', async t => {
  const { driver, looks, fenced } = drive(5);
  t.teardown(() => {
    driver.stop();
  });
  driver.meet(makeLife(1));
  welcome(driver, 4);
  await pause(600);
  t.same(looks, [4]);
  t.equal(fenced(), 1);
  welcome(driver, 5);
  await pause(200);
  t.ok(looks.includes(5));
});

t.test('a life is reported only once its lists were read', async t => {
  const { driver, reports } = drive(0);
  t.teardown(() => {
    driver.stop();
  });
  welcome(driver, 1);
  driver.meet(makeLife(1));
  await pause(120);
  const before = reports.length;
  t.ok(before > 0);
  driver.meet(makeLife(2));
  t.equal(reports.length, before, 'not before a look at it');
  await pause(200);
  const last = reports.at(-1);
  t.equal(last?.minion?.incarnation, 'agent|minion|2');
  t.same(last?.gone, ['agent|minion|1']);
});

t.test('a minion that has left is reported at once', async t => {
  const { driver, reports } = drive(0);
  t.teardown(() => {
    driver.stop();
  });
  welcome(driver, 1);
  driver.meet(makeLife(1));
  await pause(120);
  driver.meet(undefined);
  t.equal(reports.at(-1)?.minion, null);
  t.same(reports.at(-1)?.gone, ['agent|minion|1']);
});

t.test(
  'an order for an earlier life is not carried out on the next',
  async t => {
    const { driver, starts } = drive(0);
    t.teardown(() => {
      driver.stop();
    });
    welcome(driver, 1);
    driver.take({ kind: 'grant', sentAt: performance.now(), entries: [] });
    driver.meet(makeLife(1));
    await pause(150);
    driver.meet(makeLife(2));
    await pause(150);
    const order = {
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
    driver.take({
      kind: 'starts',
      incarnation: 'agent|minion|1',
      starts: [order],
    });
    await pause(50);
    t.same(starts, []);
    driver.take({
      kind: 'starts',
      incarnation: 'agent|minion|2',
      starts: [{ ...order, run: 2 }],
    });
    await pause(50);
    t.same(starts, ['j.0.0.0 on minion-2']);
  },
);
