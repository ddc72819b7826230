import { connectionRefused } from '@basilcourse/foundation/errors/connection-refused';

import type { LeaderMessage } from '../lines/leader-message.js';
import { pause } from '../time/pause.js';
import { boundCheckpoints } from './bound-checkpoints.js';
import { FencedError } from './fenced-error.js';
import { GrantedLease } from './granted-lease.js';
import type { MinionDriverOptions } from './minion-driver-options.js';
import type { MinionIncarnation } from './minion-incarnation.js';
import { MinionTracker } from './minion-tracker.js';
import { OrderRunner } from './order-runner.js';
import { pollCandidate } from './poll-candidate.js';
import { pollWait } from './poll-wait.js';
import { PolledRuns } from './polled-runs.js';
import { Throttler } from './throttler.js';

const RETRY_DELAY_MILLISECONDS = 120;

/** Sends orders to the minion, renews its lease, and reports its runs. */
export class MinionDriver {
  private readonly options: MinionDriverOptions;

  private readonly lease = new GrantedLease();

  private readonly polled = new PolledRuns();

  /** Which incarnation of the minion is present. */
  public readonly minion: MinionTracker;

  private readonly orders: OrderRunner;

  private readonly throttler: Throttler;

  private fencingToken = 0;

  /** Highest token that the minion refused after it had accepted a higher one. */
  private fencedToken = 0;

  private stopped = false;

  public constructor(options: MinionDriverOptions) {
    this.options = options;
    this.minion = new MinionTracker({
      logger: options.logger,
      onEnd: () => {
        this.resetIncarnation();
      },
      onChange: () => {
        this.sendReport();
      },
    });
    this.throttler = new Throttler({
      client: options.client,
      estimates: options.imageStatistics,
      logger: options.logger,
    });
    this.orders = new OrderRunner({
      client: options.client,
      time: options.time,
      logger: options.logger,
      expiry: () => (this.minion.isSilent ? undefined : this.expiry()),
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
    this.minion.update(minion, this.options.time.steady());
  }

  /** Records that the minion leaves; it has left once it does not answer. */
  public expectDeparture(): void {
    this.minion.expectDeparture(this.options.time.steady());
  }

  /** Whether this is the incarnation that is polled. */
  public isCurrent(incarnation: string): boolean {
    return this.minion.isCurrent(incarnation);
  }

  /** Handles a message of the leader. */
  public handleMessage(message: LeaderMessage): void {
    const { imageStatistics, time } = this.options;
    switch (message.kind) {
      case 'welcome':
        this.fencingToken = message.fencingToken;
        this.lease.setDuration(message.leaseMilliseconds);
        this.orders.reset(message.fencingToken);
        if (this.minion.current === undefined) {
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
        this.orders.start(
          this.minion.find(message.incarnation),
          message.starts,
        );
        return;
      case 'stops':
        this.orders.stop(this.minion.current, message.stops);
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
      const { fencingToken } = this;
      if (this.hasUsableToken()) {
        await pollCandidate(this.minion, this.options.client, fencingToken);
      }
      const { current: minion } = this.minion;
      if (minion === undefined || !this.hasUsableToken()) {
        await pause(RETRY_DELAY_MILLISECONDS / 2);
        continue;
      }
      try {
        await this.poll(minion);
        this.minion.recordAnswer(minion, this.options.time.steady());
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
    const { client, time, logger } = this.options;
    const { fencingToken } = this;
    const requestedAt = time.steady();
    const polled = await client.poll(peer, {
      fencingToken,
      expiresAt: this.expiry(),
      endsThrough: this.polled.endsThrough,
      waitMilliseconds: pollWait({
        listsAreCurrent: this.polled.fencingToken === fencingToken,
        leased: this.expiry() !== undefined,
        throttling: this.throttler.needsFreshMeasurements(this.polled.running),
      }),
    });
    if (!this.isCurrent(peer.description.incarnation)) {
      return;
    }
    const result = boundCheckpoints(polled, logger);
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
    const { current: minion } = this.minion;
    const listsAreCurrent = this.polled.fencingToken === this.fencingToken;
    if (minion !== undefined && !listsAreCurrent) {
      return;
    }
    this.options.report({
      fencingToken: this.fencingToken,
      minion: minion?.description ?? null,
      ...this.polled.lists(),
      refusals: this.orders.refusals(),
      gone: this.minion.departed(),
    });
  }

  private handleSettled(
    message: Extract<LeaderMessage, { readonly kind: 'settled' }>,
  ): void {
    if (this.isCurrent(message.incarnation)) {
      this.orders.removeStoredRefusals(message.refusals);
      this.polled.removeStoredEnds(message.endsThrough);
    }
  }

  private handleFailure(minion: MinionIncarnation, error: unknown): void {
    const now = this.options.time.steady();
    if (this.isCurrent(minion.description.incarnation)) {
      this.lease.recordSilence(connectionRefused(error), now);
    }
    this.minion.recordFailure(minion, error, this.lease.isExpired(now));
  }

  /** Clears the state of an incarnation that has ended. */
  private resetIncarnation(): void {
    this.fencedToken = 0;
    this.lease.reset();
    this.polled.reset();
    this.orders.reset(this.fencingToken);
    this.throttler.reset();
  }
}
