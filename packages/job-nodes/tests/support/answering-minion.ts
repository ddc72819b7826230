import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import type { Test } from 'tap';

import { ImageMemory } from '../../src/agent/image-memory.js';
import type { MinionClient } from '../../src/agent/minion-client.js';
import { MinionDriver } from '../../src/agent/minion-driver.js';
import type { MinionIncarnation } from '../../src/agent/minion-incarnation.js';
import { WrongMinionError } from '../../src/agent/wrong-minion-error.js';
import { anchoredTime } from '../../src/time/anchored-time.js';
import { pause } from '../../src/time/pause.js';
import { makeMinion } from './make-minion.js';
import { quietLogger } from './quiet-logger.js';

const LEASE_MILLISECONDS = 1000;

const GRANT_INTERVAL_MILLISECONDS = 50;

const CAPACITY_MILLICORES = 1000;

/** How a minion answers a poll. */
type Answer = 'lists' | 'more-ends' | 'refused' | 'another-incarnation';

/** A driver whose lease is renewed all the time, and a minion that a test scripts. */
export class AnsweringMinion {
  public readonly driver: MinionDriver;

  public readonly reports: AgentReport[] = [];

  /** Answers to polls, by the incarnation that they are for; `lists` if absent. */
  public answers: Readonly<Record<string, Answer>> = {};

  /** Starts a driver that ends with the test. */
  public constructor(t: Test) {
    this.driver = new MinionDriver({
      imageStatistics: new ImageMemory(),
      client: this.client(),
      time: anchoredTime(),
      logger: quietLogger,
      minionLimits: {
        longestLeaseMilliseconds: LEASE_MILLISECONDS,
        longestCallDelayMilliseconds: 0,
      },
      onFenced: () => undefined,
      onTokenNeeded: () => undefined,
      report: report => this.reports.push(report),
    });
    void this.driver.run();
    const grants = setInterval(() => {
      const sentAt = anchoredTime().steady();
      this.driver.handleMessage({ kind: 'grant', sentAt, entries: [] });
    }, GRANT_INTERVAL_MILLISECONDS);
    t.teardown(() => {
      this.driver.stop();
      clearInterval(grants);
    });
    this.welcome(1);
  }

  /** Returns the description of an incarnation of the minion. */
  public incarnation(number: number): MinionIncarnation {
    return makeMinion('vm', number, CAPACITY_MILLICORES);
  }

  /** The newest report. */
  public get report(): AgentReport | undefined {
    return this.reports.at(-1);
  }

  /** Opens a stream to a leader. */
  public welcome(fencingToken: number): void {
    this.driver.handleMessage({
      kind: 'welcome',
      epoch: 1,
      fencingToken,
      leaseMilliseconds: LEASE_MILLISECONDS,
    });
  }

  private client(): MinionClient {
    return {
      start: () =>
        Promise.reject(new PeerUnreachableError('minion.start', 'vm', 'none')),
      stop: () => Promise.resolve(),
      throttle: () => Promise.resolve(),
      poll: async ({ identifier }) => {
        await pause(10);
        const answer = this.answers[identifier] ?? 'lists';
        if (answer === 'refused') {
          const reason = Object.assign(new Error(), { code: 'ECONNREFUSED' });
          throw new PeerUnreachableError('minion.look', 'vm', reason);
        }
        if (answer === 'another-incarnation') {
          throw new WrongMinionError('minion.look', 'vm');
        }
        return {
          clock: performance.now(),
          running: [],
          ends: [],
          hasMoreEnds: answer === 'more-ends',
        };
      },
    };
  }
}
