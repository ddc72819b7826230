import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import type { Test } from 'tap';
import t from 'tap';

import { ImageMemory } from '../../src/agent/image-memory.js';
import type { MinionClient } from '../../src/agent/minion-client.js';
import { MinionDriver } from '../../src/agent/minion-driver.js';
import type { MinionIncarnation } from '../../src/agent/minion-incarnation.js';
import { WrongMinionError } from '../../src/agent/wrong-minion-error.js';
import { anchoredTime } from '../../src/time/anchored-time.js';
import { pause } from '../../src/time/pause.js';
import { makeMinion } from '../support/make-minion.js';
import { quietLogger } from '../support/quiet-logger.js';

const IDENTIFIER = 'vm#1';

const FIRST = makeMinion('vm', 1, 1000, IDENTIFIER);

const SECOND = makeMinion('vm', 2, 1000, IDENTIFIER);

/** A driver of a minion whose lives share an identifier. */
class SharedIdentifier {
  public readonly driver: MinionDriver;

  public readonly reports: AgentReport[] = [];

  public tokensNeeded = 0;

  /** The life that answers; none if undefined. */
  public life: MinionIncarnation | undefined = FIRST;

  public constructor(t: Test) {
    this.driver = new MinionDriver({
      imageStatistics: new ImageMemory(),
      client: this.client(),
      time: anchoredTime(),
      logger: quietLogger,
      minionLimits: {
        longestLeaseMilliseconds: 1000,
        longestCallDelayMilliseconds: 5000,
      },
      onFenced: () => undefined,
      onTokenNeeded: () => {
        this.tokensNeeded += 1;
      },
      report: report => this.reports.push(report),
    });
    void this.driver.run();
    t.teardown(() => {
      this.driver.stop();
    });
    this.welcome(1);
  }

  public get reported(): readonly (string | undefined)[] {
    return this.reports.map(({ minion }) => minion?.incarnation);
  }

  public welcome(fencingToken: number): void {
    const leaseMilliseconds = 1000;
    const epoch = 1;
    this.driver.handleMessage({
      kind: 'welcome',
      epoch,
      fencingToken,
      leaseMilliseconds,
    });
    const sentAt = anchoredTime().steady();
    this.driver.handleMessage({ kind: 'grant', sentAt });
  }

  private client(): MinionClient {
    return {
      start: () => Promise.resolve({ kind: 'started' }),
      stop: () => Promise.resolve(),
      throttle: () => Promise.resolve(),
      poll: async ({ description }) => {
        await pause(5);
        const answering = this.life?.description.incarnation;
        if (answering === undefined) {
          throw new PeerUnreachableError('minion.look', 'vm', 'no answer');
        }
        if (answering !== description.incarnation) {
          throw new WrongMinionError('minion.look', 'vm');
        }
        const clock = performance.now() + 10_000;
        return { clock, running: [], ends: [], hasMoreEnds: false };
      },
    };
  }
}

// Guards against a call without an answer that the next life takes under its token.
t.test('the next life is called under a later token', async t => {
  const minion = new SharedIdentifier(t);
  minion.driver.updateMinion(FIRST);
  await pause(200);
  minion.life = undefined;
  await pause(300);
  minion.life = SECOND;
  minion.driver.updateMinion(SECOND);
  await pause(600);
  t.notOk(minion.reported.includes(SECOND.description.incarnation));
  t.equal(minion.tokensNeeded, 1);
  minion.welcome(2);
  await pause(300);
  const last = minion.reports.at(-1);
  t.equal(last?.minion?.incarnation, SECOND.description.incarnation);
  t.equal(last?.fencingToken, 2);
  t.same(last?.gone, [FIRST.description.incarnation]);
});

// Guards against tasks of a life that is known from a heartbeat alone.
t.test('a life that has not answered is not reported as ended', async t => {
  const minion = new SharedIdentifier(t);
  minion.life = SECOND;
  minion.driver.updateMinion(FIRST);
  await pause(300);
  t.same(
    minion.reports.flatMap(({ gone }) => gone),
    [],
  );
  minion.driver.updateMinion(SECOND);
  await pause(300);
  const last = minion.reports.at(-1);
  t.equal(last?.minion?.incarnation, SECOND.description.incarnation);
});

// Guards against tasks that wait as the next life is lost before it is polled.
t.test('a life that ended is reported before the next one answers', async t => {
  const minion = new SharedIdentifier(t);
  minion.driver.updateMinion(FIRST);
  await pause(200);
  minion.life = SECOND;
  minion.driver.updateMinion(SECOND);
  await pause(100);
  minion.life = undefined;
  minion.welcome(2);
  await pause(100);
  const last = minion.reports.at(-1);
  t.equal(last?.minion, null);
  t.same(last?.gone, [FIRST.description.incarnation]);
});
