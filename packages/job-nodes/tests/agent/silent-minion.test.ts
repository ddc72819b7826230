import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import t from 'tap';

import { ImageMemory } from '../../src/agent/image-memory.js';
import type { MinionClient } from '../../src/agent/minion-client.js';
import { MinionDriver } from '../../src/agent/minion-driver.js';
import type { MinionIncarnation } from '../../src/agent/minion-incarnation.js';
import { anchoredTime } from '../../src/time/anchored-time.js';
import { pause } from '../../src/time/pause.js';
import { makeMinion } from '../support/make-minion.js';
import { quietLogger } from '../support/quiet-logger.js';

t.test(
  'a silent minion gets no lease until it answers, and is given up',
  async t => {
    const expiries: (number | undefined)[] = [];
    let silent = false;
    const reports: AgentReport[] = [];
    const client = {
      poll: async (
        _minion: MinionIncarnation,
        poll: { readonly expiresAt: number | undefined },
      ) => {
        await pause(10);
        expiries.push(poll.expiresAt);
        if (silent) {
          throw new Error('no answer');
        }
        return { clock: performance.now(), running: [], ends: [] };
      },
    } as unknown as MinionClient;
    const driver = new MinionDriver({
      imageStatistics: new ImageMemory(),
      client,
      time: anchoredTime(),
      minionLimits: {
        longestLeaseMilliseconds: 1000,
        longestCallDelayMilliseconds: 0,
      },
      onTokenNeeded: () => undefined,
      logger: quietLogger,
      onFenced: () => undefined,
      report: report => reports.push(report),
    });
    void driver.run();
    const grants = setInterval(() => {
      const sentAt = anchoredTime().steady();
      driver.handleMessage({ kind: 'grant', sentAt, entries: [] });
    }, 50);
    t.teardown(() => {
      driver.stop();
      clearInterval(grants);
    });
    driver.handleMessage({
      kind: 'welcome',
      epoch: 1,
      fencingToken: 1,
      leaseMilliseconds: 1000,
    });
    driver.updateMinion(makeMinion('agent', 1, 1000));
    await pause(200);
    silent = true;
    await pause(700);
    const [first, ...later] = expiries.splice(0).slice(-3);
    t.equal(first, undefined, 'a call without an answer gives the last lease');
    t.same(later, [undefined, undefined]);
    t.same(reports.at(-1)?.gone, []);
    silent = false;
    await pause(300);
    t.not(expiries.splice(0).at(-1), undefined, 'it answers again');
    t.same(reports.at(-1)?.gone, [], 'a short silence costs no run');
    silent = true;
    await pause(2600);
    t.equal(expiries.at(-1), undefined, 'while it is silent');
    t.equal(reports.at(-1)?.minion, null, 'once its last lease is over');
    t.same(reports.at(-1)?.gone, ['agent|agent#1|1']);
  },
);
