import type { LeaderMessage } from '../lines/leader-message.js';
import { pause } from '../time/pause.js';
import { boundCheckpoints } from './bound-checkpoints.js';
import { FencedError } from './fenced-error.js';
import { listedRuns } from './listed-runs.js';
import type { MinionDriverOptions } from './minion-driver-options.js';
import type { MinionIncarnation } from './minion-incarnation.js';
import type { MinionParts } from './minion-parts.js';
import { createMinionParts } from './minion-parts.js';
import type { MinionTracker } from './minion-tracker.js';
import { pollCandidate } from './poll-candidate.js';

const RETRY_DELAY_MILLISECONDS = 120;

const MAXIMUM_LOGGED_TASKS = 16;

/** Sends orders to the minion, renews its lease, and reports its runs. */
export class MinionDriver {
  private readonly options: MinionDriverOptions;

  private readonly parts: MinionParts;

  private fencingToken = 0;

  /** Highest token that the minion refused after it had accepted a higher one. */
  private fencedToken = 0;

  private stopped = false;

  public constructor(options: MinionDriverOptions) {
    this.options = options;
    this.parts = createMinionParts(options, {
      onEnd: () => {
        this.resetIncarnation();
      },
      onChange: () => {
        this.sendReport();
      },
    });
  }

  /** Which incarnation of the minion is present. */
  public get minion(): MinionTracker {
    return this.parts.minion;
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
        this.parts.lease.setDuration(message.leaseMilliseconds);
        this.parts.orders.reset(message.fencingToken);
        if (this.minion.current === undefined) {
          this.sendReport();
        }
        return;
      case 'entries':
        return;
      case 'grant':
        this.parts.lease.grant(message.sentAt);
        return;
      case 'traits':
        message.tasks.forEach(({ task, traits }) => {
          this.parts.throttler.recordTraits(task, traits);
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
          this.parts.throttler.recordTraits(task, traits);
        });
        this.parts.orders.start(
          this.minion.find(message.incarnation),
          message.starts,
        );
        return;
      case 'stops':
        this.parts.orders.stop(this.minion.current, message.stops);
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
        this.expireUnsettled();
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
    const { time, logger } = this.options;
    const { fencingToken, parts } = this;
    const { incarnation } = peer.description;
    const requestedAt = time.steady();
    const polled = await parts.poller.poll(peer, fencingToken, requestedAt);
    if (!this.isCurrent(incarnation)) {
      return;
    }
    const result = boundCheckpoints(polled, logger);
    const listed = listedRuns(result);
    const complete = !result.hasMoreEnds;
    this.parts.lease.recordAnswer(result.clock, time.steady());
    this.parts.polled.apply(result, fencingToken);
    this.parts.unsettled.applyLists({
      incarnation,
      fencingToken,
      requestedAt,
      listed,
      complete,
    });
    if (complete) {
      this.parts.orders.resolveRevoked(listed, requestedAt);
    }
    this.sendReport();
    await this.parts.throttler.apply(
      peer,
      result.running,
      fencingToken,
      time.steady(),
    );
    // While ends are not stored, a poll returns at once instead of waiting.
    await this.parts.polled.waitUntilEndsStored();
  }

  /** Returns whether the minion has not refused the current token. */
  private hasUsableToken(): boolean {
    return this.fencingToken > this.fencedToken;
  }

  private isStopped(): boolean {
    return this.stopped;
  }

  /** Reports starts that are settled by time alone, which no poll would do. */
  private expireUnsettled(): void {
    if (this.parts.unsettled.expire(this.options.time.steady())) {
      this.sendReport();
    }
  }

  private sendReport(): void {
    const { current: minion } = this.minion;
    const listsAreCurrent =
      this.parts.polled.fencingToken === this.fencingToken;
    if (minion !== undefined && !listsAreCurrent) {
      return;
    }
    const unsettled = this.parts.unsettled.tasks(
      minion?.description.incarnation,
    );
    this.options.report({
      fencingToken: this.fencingToken,
      minion: minion?.description ?? null,
      ...this.parts.polled.lists(),
      refusals: this.parts.orders.refusals(),
      gone: this.minion.departed(),
      ...(unsettled.length > 0 ? { unsettled } : {}),
    });
  }

  private handleSettled(
    message: Extract<LeaderMessage, { readonly kind: 'settled' }>,
  ): void {
    if (this.isCurrent(message.incarnation)) {
      this.parts.orders.removeStoredRefusals(message.refusals);
      this.parts.polled.removeStoredEnds(message.endsThrough);
    }
  }

  private handleFailure(minion: MinionIncarnation, error: unknown): void {
    const now = this.options.time.steady();
    if (this.isCurrent(minion.description.incarnation)) {
      this.parts.lease.recordSilence();
    }
    this.minion.recordFailure(minion, error, this.parts.lease.isExpired(now));
  }

  /**
   * Clears the state of an incarnation that has ended. The next one may carry out
   * starts for it, until it has seen a later token than theirs.
   */
  private resetIncarnation(): void {
    this.parts.lease.reset();
    this.parts.polled.reset();
    this.parts.orders.reset(this.fencingToken);
    this.parts.throttler.reset();
    const tasks = this.parts.unsettled.tasks(undefined);
    this.fencedToken = tasks.length > 0 ? this.fencingToken : 0;
    if (tasks.length > 0) {
      this.options.logger.warn(
        'The next minion may carry out earlier starts.',
        {
          tasks: tasks.slice(0, MAXIMUM_LOGGED_TASKS).join(' '),
          count: tasks.length,
        },
      );
      this.options.onTokenNeeded();
    }
  }
}
