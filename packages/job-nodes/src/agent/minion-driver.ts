import { messageOf } from '@basilcourse/foundation/errors/message-of';

import type { LeaderMessage } from '../lines/leader-message.js';
import { pause } from '../time/pause.js';
import { FencedError } from './fenced-error.js';
import { GrantedLease } from './granted-lease.js';
import type { MinionDriverOptions } from './minion-driver-options.js';
import type { MinionIncarnation } from './minion-incarnation.js';
import { MinionVitals } from './minion-vitals.js';
import { OrderRunner } from './order-runner.js';
import { pollWait } from './poll-wait.js';
import { PolledRuns } from './polled-runs.js';
import { Throttler } from './throttler.js';

const RETRY_DELAY_MILLISECONDS = 120;

/** Sends orders to the minion, renews its lease, and reports its runs. */
export class MinionDriver {
  private readonly options: MinionDriverOptions;

  private readonly lease = new GrantedLease();

  private readonly polled = new PolledRuns();

  private readonly vitals = new MinionVitals();

  private readonly orders: OrderRunner;

  private readonly throttler: Throttler;

  private minion: MinionIncarnation | undefined;

  private fencingToken = 0;

  /** Highest token that the minion refused after it had accepted a higher one. */
  private fencedToken = 0;

  private stopped = false;

  public constructor(options: MinionDriverOptions) {
    this.options = options;
    this.throttler = new Throttler({
      client: options.client,
      estimates: options.imageStatistics,
      logger: options.logger,
    });
    this.orders = new OrderRunner({
      client: options.client,
      time: options.time,
      logger: options.logger,
      expiry: () => this.expiry(),
      onStarted: (minion, order, token) => {
        void this.throttler.started(minion, order, this.polled.running, token);
      },
      onRefusal: () => {
        this.sendReport();
      },
    });
  }

  /** Applies a description of the minion; undefined once it has departed. */
  public updateMinion(minion: MinionIncarnation | undefined): void {
    const before = this.minion?.description.incarnation;
    if (before !== undefined && before !== minion?.description.incarnation) {
      this.resetIncarnation(before);
    }
    const changed =
      minion?.description.draining !== this.minion?.description.draining;
    this.minion = minion;
    if (minion !== undefined) {
      this.vitals.recordContact(minion.description.incarnation);
    }
    if (changed) {
      this.sendReport();
    }
  }

  /** Handles a message of the leader. */
  public handleMessage(message: LeaderMessage): void {
    const { imageStatistics, time } = this.options;
    switch (message.kind) {
      case 'welcome':
        this.fencingToken = message.fencingToken;
        this.lease.setDuration(message.leaseMilliseconds);
        this.orders.reset(message.fencingToken);
        if (this.minion === undefined) {
          this.sendReport();
        }
        return;
      case 'entries':
        return;
      case 'grant':
        this.lease.grant(message.sentAt);
        return;
      case 'traits':
        message.tasks.forEach(({ task, traits }) => {
          this.throttler.recordTraits(task, traits);
        });
        return;
      case 'images':
        imageStatistics.apply(message.images);
        return;
      case 'loads':
        imageStatistics.loads.apply(message.loads, time.steady());
        return;
      case 'starts':
        message.starts.forEach(({ task, traits }) => {
          this.throttler.recordTraits(task, traits);
        });
        this.orders.start(this.minionFor(message.incarnation), message.starts);
        return;
      case 'stops':
        this.orders.stop(this.minion, message.stops);
        return;
      case 'settled':
        this.handleSettled(message);
        return;
    }
  }

  /** Stops polling. */
  public stop(): void {
    this.stopped = true;
  }

  /** Polls the minion until the driver is stopped. */
  public async run(): Promise<void> {
    while (!this.isStopped()) {
      const { minion } = this;
      if (minion === undefined || !this.hasUsableToken()) {
        await pause(RETRY_DELAY_MILLISECONDS / 2);
        continue;
      }
      const { fencingToken } = this;
      try {
        await this.poll(minion);
        this.vitals.recordAnswer();
      } catch (error) {
        this.handleFailure(minion, error);
        if (error instanceof FencedError) {
          this.fencedToken = fencingToken;
          this.options.onFenced();
        }
        await pause(RETRY_DELAY_MILLISECONDS);
      }
    }
  }

  private async poll(peer: MinionIncarnation): Promise<void> {
    const { client, time } = this.options;
    const { fencingToken } = this;
    const requestedAt = time.steady();
    const result = await client.poll(peer, {
      fencingToken,
      expiresAt: this.expiry(),
      endsThrough: this.polled.endsThrough,
      waitMilliseconds: pollWait({
        listsAreCurrent: this.polled.fencingToken === fencingToken,
        leased: this.expiry() !== undefined,
        throttling: this.throttler.needsFreshMeasurements(this.polled.running),
      }),
    });
    if (this.minion?.description.incarnation !== peer.description.incarnation) {
      return;
    }
    this.lease.recordAnswer(result.clock, time.steady());
    this.polled.apply(result, fencingToken);
    if (!result.hasMoreEnds) {
      this.orders.resolveRevoked(this.polled.listedRuns(), requestedAt);
    }
    this.sendReport();
    await this.throttler.apply(
      peer,
      result.running,
      fencingToken,
      time.steady(),
    );
    // While ends are not stored, a poll returns at once instead of waiting.
    await this.polled.waitUntilEndsStored();
  }

  /** Returns the current minion if it is the given incarnation. */
  private minionFor(incarnation: string): MinionIncarnation | undefined {
    const same = this.minion?.description.incarnation === incarnation;
    return same ? this.minion : undefined;
  }

  /** Returns whether the minion has not refused the current token. */
  private hasUsableToken(): boolean {
    return this.fencingToken > this.fencedToken;
  }

  private isStopped(): boolean {
    return this.stopped;
  }

  private expiry(): number | undefined {
    return this.lease.expiry(this.options.time.steady());
  }

  private sendReport(): void {
    const { minion } = this;
    const listsAreCurrent = this.polled.fencingToken === this.fencingToken;
    if (minion !== undefined && !listsAreCurrent) {
      return;
    }
    this.options.report({
      fencingToken: this.fencingToken,
      minion: minion?.description ?? null,
      running: minion === undefined ? [] : this.polled.running,
      ends: minion === undefined ? [] : this.polled.ends,
      ...(minion !== undefined && this.polled.hasMoreEnds
        ? { hasMoreEnds: true }
        : {}),
      refusals: this.orders.refusals(),
      gone: this.vitals.departed(),
    });
  }

  private handleSettled(
    message: Extract<LeaderMessage, { readonly kind: 'settled' }>,
  ): void {
    if (message.incarnation !== this.minion?.description.incarnation) {
      return;
    }
    this.orders.removeStoredRefusals(message.refusals);
    this.polled.removeStoredEnds(message.endsThrough);
  }

  private handleFailure(minion: MinionIncarnation, error: unknown): void {
    this.lease.recordSilence(this.options.time.steady());
    this.options.logger.warn('The minion did not answer.', {
      incarnation: minion.description.incarnation,
      reason: messageOf(error),
    });
    const leaseExpired =
      this.polled.fencingToken === this.fencingToken &&
      this.lease.isExpired(this.options.time.steady());
    const same =
      this.minion?.description.incarnation === minion.description.incarnation;
    if (this.vitals.hasEnded(error, leaseExpired) && same) {
      this.updateMinion(undefined);
    }
  }

  private resetIncarnation(incarnation: string): void {
    this.fencedToken = 0;
    this.vitals.recordDeparture(incarnation);
    this.lease.reset();
    this.polled.reset();
    this.orders.reset(this.fencingToken);
    this.throttler.reset();
    this.options.logger.warn('A life of the minion is over.', { incarnation });
  }
}
