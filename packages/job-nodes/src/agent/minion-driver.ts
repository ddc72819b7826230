import { messageOf } from '@basilcourse/foundation/errors/message-of';

import type { LeaderMessage } from '../lines/leader-message.js';
import { pause } from '../time/pause.js';
import { FencedError } from './fenced-error.js';
import { LeaseClock } from './lease-clock.js';
import { lookWait } from './look-wait.js';
import type { MinionDriverOptions } from './minion-driver-options.js';
import type { MinionLife } from './minion-life.js';
import { MinionLists } from './minion-lists.js';
import { MinionVitals } from './minion-vitals.js';
import { OrderRunner } from './order-runner.js';
import { Pacer } from './pacer.js';

const RETRY_MILLISECONDS = 120;

/** Carries orders to the minion, renews its lease, and reports its lists. */
export class MinionDriver {
  private readonly options: MinionDriverOptions;

  private readonly lease = new LeaseClock();

  private readonly lists = new MinionLists();

  private readonly vitals = new MinionVitals();

  private readonly orders: OrderRunner;

  private readonly pacer: Pacer;

  private life: MinionLife | undefined;

  private fencingToken = 0;

  /** Highest token that the minion refused for a higher one. */
  private fencedToken = 0;

  private leaseMilliseconds = 0;

  private stopped = false;

  private grantedUntil = Number.NEGATIVE_INFINITY;

  public constructor(options: MinionDriverOptions) {
    this.options = options;
    this.pacer = new Pacer({
      client: options.client,
      harms: options.images.harms,
      logger: options.logger,
    });
    this.orders = new OrderRunner({
      client: options.client,
      time: options.time,
      logger: options.logger,
      expiry: () => this.expiry(),
      onStarted: (life, order, fencingToken) => {
        void this.pacer.started(life, order, this.lists.running, fencingToken);
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
      this.vitals.noteAlive(life.description.incarnation);
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
      case 'images':
        this.options.images.take(message.images);
        return;
      case 'loads':
        this.pacer.takeLoads(message.loads);
        return;
      case 'starts':
        message.starts.forEach(({ task, traits }) => {
          this.pacer.learn(task, traits);
        });
        this.orders.start(this.lifeNamed(message.incarnation), message.starts);
        return;
      case 'stops':
        this.orders.stop(this.life, message.stops);
        return;
      case 'settled':
        this.settle(message);
        return;
    }
  }

  /** Ends the looking. */
  public stop(): void {
    this.stopped = true;
  }

  /** Looks at the minion, again and again, until it is stopped. */
  public async run(): Promise<void> {
    while (!this.isStopped()) {
      const { life } = this;
      if (life === undefined || !this.hasUsableToken()) {
        await pause(RETRY_MILLISECONDS / 2);
        continue;
      }
      const { fencingToken } = this;
      try {
        await this.look(life);
        this.vitals.noteAnswer();
      } catch (error) {
        this.noteFailure(life, error);
        if (error instanceof FencedError) {
          this.fencedToken = fencingToken;
          this.options.onFenced();
        }
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
      endsThrough: this.lists.endsThrough,
      waitMilliseconds: lookWait({
        listsAreCurrent: this.lists.fencingToken === fencingToken,
        leased: this.expiry() !== undefined,
        pacing: this.pacer.needsFreshFigures(this.lists.running),
      }),
    });
    if (this.life?.description.incarnation !== life.description.incarnation) {
      return;
    }
    this.lease.note(result.clock, time.steady());
    this.lists.take(result.running, result.ends, fencingToken);
    this.orders.resolveRevoked(this.lists.listedRuns(), askedAt);
    this.tellReport();
    await this.pacer.apply(life, result.running, fencingToken, time.steady());
    // Until the ends are stored, a look would not wait for new ones.
    await this.lists.settled();
  }

  /** The present life, if it is the one that is meant. */
  private lifeNamed(incarnation: string): MinionLife | undefined {
    const same = this.life?.description.incarnation === incarnation;
    return same ? this.life : undefined;
  }

  /** A token that the minion has refused is not used again. */
  private hasUsableToken(): boolean {
    return this.fencingToken > this.fencedToken;
  }

  private isStopped(): boolean {
    return this.stopped;
  }

  private expiry(): number | undefined {
    return this.lease.expiryFor(this.grantedUntil, this.options.time.steady());
  }

  private tellReport(): void {
    const { life } = this;
    const read = this.lists.fencingToken === this.fencingToken;
    if (life !== undefined && !read) {
      return;
    }
    this.options.report({
      fencingToken: this.fencingToken,
      minion: life?.description ?? null,
      running: life === undefined ? [] : this.lists.running,
      ends: life === undefined ? [] : this.lists.ends,
      refusals: this.orders.refusals(),
      gone: this.vitals.gone(),
    });
  }

  private settle(
    message: Extract<LeaderMessage, { readonly kind: 'settled' }>,
  ): void {
    if (message.incarnation !== this.life?.description.incarnation) {
      return;
    }
    this.orders.settle(message.refusals);
    this.lists.settle(message.endsThrough);
  }

  private noteFailure(life: MinionLife, error: unknown): void {
    this.options.logger.warn('The minion did not answer.', {
      incarnation: life.description.incarnation,
      reason: messageOf(error),
    });
    const leaseOver =
      this.lists.fencingToken === this.fencingToken &&
      this.lease.isOver(this.options.time.steady());
    const same =
      this.life?.description.incarnation === life.description.incarnation;
    if (this.vitals.isOver(error, leaseOver) && same) {
      this.meet(undefined);
    }
  }

  private forget(incarnation: string): void {
    this.fencedToken = 0;
    this.vitals.noteGone(incarnation);
    this.lease.reset();
    this.lists.reset();
    this.orders.reset(this.fencingToken);
    this.pacer.reset();
    this.options.logger.warn('A life of the minion is over.', { incarnation });
  }
}
