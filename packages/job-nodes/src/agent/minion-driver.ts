import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import type { RunEnd } from '@basilcourse/jobs/model/run-end';
import type { RunningTask } from '@basilcourse/jobs/model/running-task';

import type { LeaderMessage } from '../lines/leader-message.js';
import { pause } from '../time/pause.js';
import type { TimeSource } from '../time/time-source.js';
import { LeaseClock } from './lease-clock.js';
import type { MinionClient } from './minion-client.js';
import type { MinionLife } from './minion-life.js';
import { OrderRunner } from './order-runner.js';
import { Pacer } from './pacer.js';
import { WrongMinionError } from './wrong-minion-error.js';

const LOOK_WAIT_MILLISECONDS = 900;

/** While there is no lease to renew, so that a new one is given soon. */
const UNLEASED_WAIT_MILLISECONDS = 150;

/** While filling tasks are paced by their neighbours' figures. */
const PACING_WAIT_MILLISECONDS = 250;

/** Longest wait for ends to be stored. */
const SETTLE_MILLISECONDS = 200;

const RETRY_MILLISECONDS = 120;

/** Refused connections in a row that show that the minion's process is gone. */
const REFUSALS_THAT_PROVE = 3;

/** What a driver needs. */
export interface MinionDriverOptions {
  readonly client: MinionClient;
  readonly time: TimeSource;
  readonly logger: PartLogger;
  readonly report: (report: AgentReport) => void;
}

/** Carries orders to the minion, renews its lease, and reports its lists. */
export class MinionDriver {
  private readonly options: MinionDriverOptions;

  private readonly lease = new LeaseClock();

  private readonly orders: OrderRunner;

  private readonly pacer: Pacer;

  private life: MinionLife | undefined;

  private readonly gone: string[] = [];

  private fencingToken = 0;

  /** Token under which the lists below were read. */
  private listsToken = 0;

  private leaseMilliseconds = 0;

  private grantedUntil = Number.NEGATIVE_INFINITY;

  private endsThrough = 0;

  private running: readonly RunningTask[] = [];

  private ends: readonly RunEnd[] = [];

  private refusedConnections = 0;

  private onSettled: () => void = () => undefined;

  public constructor(options: MinionDriverOptions) {
    this.options = options;
    this.pacer = new Pacer({
      client: options.client,
      logger: options.logger,
    });
    this.orders = new OrderRunner({
      client: options.client,
      time: options.time,
      logger: options.logger,
      expiry: () => this.expiry(),
      onStarted: (life, order, fencingToken) => {
        void this.pacer.started(life, order, this.running, fencingToken);
      },
      onRefusal: () => {
        this.tellReport();
      },
    });
  }

  /** Takes in what the minion says of itself; undefined once it has left. */
  public meet(life: MinionLife | undefined): void {
    const before = this.life?.description.incarnation;
    if (before !== undefined && before !== life?.description.incarnation) {
      this.forget(before);
    }
    const changed =
      life?.description.draining !== this.life?.description.draining;
    this.life = life;
    if (life !== undefined) {
      this.takeBack(life.description.incarnation);
    }
    if (changed) {
      this.tellReport();
    }
  }

  /** Takes in a message of the leader. */
  public take(message: LeaderMessage): void {
    switch (message.kind) {
      case 'welcome':
        this.fencingToken = message.fencingToken;
        this.leaseMilliseconds = message.leaseMilliseconds;
        this.orders.reset(message.fencingToken);
        return;
      case 'grant':
        this.grantedUntil = Math.max(
          this.grantedUntil,
          message.sentAt + this.leaseMilliseconds,
        );
        return;
      case 'traits':
        message.tasks.forEach(({ task, traits }) => {
          this.pacer.learn(task, traits);
        });
        return;
      case 'harms':
        this.pacer.takeHarms(message.harms);
        return;
      case 'loads':
        this.pacer.takeLoads(message.loads);
        return;
      case 'starts':
        message.starts.forEach(({ task, traits }) => {
          this.pacer.learn(task, traits);
        });
        this.orders.start(this.life, message.starts);
        return;
      case 'stops':
        this.orders.stop(this.life, message.stops);
        return;
      case 'settled':
        this.settle(message);
        return;
    }
  }

  /** Looks at the minion, again and again, until the process ends. */
  public async run(): Promise<void> {
    for (;;) {
      const { life } = this;
      if (life === undefined || this.fencingToken === 0) {
        await pause(RETRY_MILLISECONDS / 2);
        continue;
      }
      try {
        await this.look(life);
        this.refusedConnections = 0;
      } catch (error) {
        this.noteFailure(life, error);
        await pause(RETRY_MILLISECONDS);
      }
    }
  }

  private async look(life: MinionLife): Promise<void> {
    const { client, time } = this.options;
    const { fencingToken } = this;
    const askedAt = time.steady();
    const result = await client.look(life, {
      fencingToken,
      expiresAt: this.expiry(),
      endsThrough: this.endsThrough,
      waitMilliseconds: this.lookWait(),
    });
    if (this.life?.description.incarnation !== life.description.incarnation) {
      return;
    }
    this.lease.note(result.clock, time.steady());
    this.running = result.running;
    this.ends = result.ends.filter(({ number }) => number > this.endsThrough);
    this.listsToken = fencingToken;
    this.orders.resolveRevoked(listedRuns(result), askedAt);
    this.tellReport();
    await this.pacer.apply(life, result.running, fencingToken, time.steady());
    if (this.ends.length > 0) {
      await this.settled();
    }
  }

  private lookWait(): number {
    if (this.listsToken !== this.fencingToken) {
      return 0;
    }
    if (this.expiry() === undefined) {
      return UNLEASED_WAIT_MILLISECONDS;
    }
    return this.pacer.needsFreshFigures(this.running)
      ? PACING_WAIT_MILLISECONDS
      : LOOK_WAIT_MILLISECONDS;
  }

  /** Waits until the ends are stored: before that a look would not wait. */
  private async settled(): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, SETTLE_MILLISECONDS);
      this.onSettled = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  private expiry(): number | undefined {
    return this.lease.expiryFor(this.grantedUntil, this.options.time.steady());
  }

  private tellReport(): void {
    const { life } = this;
    if (this.listsToken !== this.fencingToken) {
      return;
    }
    this.options.report({
      fencingToken: this.listsToken,
      minion: life?.description ?? null,
      running: life === undefined ? [] : this.running,
      ends: life === undefined ? [] : this.ends,
      refusals: this.orders.refusals(),
      gone: this.gone,
    });
  }

  private settle(message: Extract<LeaderMessage, { kind: 'settled' }>): void {
    if (message.incarnation !== this.life?.description.incarnation) {
      return;
    }
    this.endsThrough = Math.max(this.endsThrough, message.endsThrough);
    this.ends = this.ends.filter(({ number }) => number > this.endsThrough);
    this.orders.settle(message.refusals);
    if (this.ends.length === 0) {
      this.onSettled();
    }
  }

  private noteFailure(life: MinionLife, error: unknown): void {
    this.options.logger.warn('The minion did not answer.', {
      incarnation: life.description.incarnation,
      reason: messageOf(error),
    });
    if (error instanceof WrongMinionError) {
      this.loseIfSame(life);
      return;
    }
    const refused =
      error instanceof PeerUnreachableError &&
      error.message.includes('ECONNREFUSED');
    this.refusedConnections = refused ? this.refusedConnections + 1 : 0;
    const over = this.lease.isOver(this.options.time.steady());
    const proved = this.refusedConnections >= REFUSALS_THAT_PROVE;
    if (proved || (over && this.listsToken === this.fencingToken && !refused)) {
      this.loseIfSame(life);
    }
  }

  private loseIfSame(life: MinionLife): void {
    if (this.life?.description.incarnation === life.description.incarnation) {
      this.meet(undefined);
    }
  }

  /** A life that was held for over has been heard again. */
  private takeBack(incarnation: string): void {
    const position = this.gone.indexOf(incarnation);
    if (position >= 0) {
      this.gone.splice(position, 1);
    }
  }

  private forget(incarnation: string): void {
    this.gone.push(incarnation);
    if (this.gone.length > 16) {
      this.gone.shift();
    }
    this.lease.reset();
    this.endsThrough = 0;
    this.running = [];
    this.ends = [];
    this.refusedConnections = 0;
    this.orders.reset(this.fencingToken);
    this.pacer.reset();
    this.options.logger.warn('A life of the minion is over.', { incarnation });
  }
}

function listedRuns({ running, ends }: ListedRuns): ReadonlySet<string> {
  return new Set(
    [...running, ...ends].map(({ task, run }) => `${task}/${run}`),
  );
}

interface ListedRuns {
  readonly running: readonly RunningTask[];
  readonly ends: readonly RunEnd[];
}
