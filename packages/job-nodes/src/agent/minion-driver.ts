import type { LeaderMessage } from '../lines/leader-message.js';
import { pause } from '../time/pause.js';
import { boundCheckpoints } from './bound-checkpoints.js';
import { FencedError } from './fenced-error.js';
import { listedRuns } from './listed-runs.js';
import type { MinionDriverOptions } from './minion-driver-options.js';
import type { MinionIncarnation } from './minion-incarnation.js';
import type { MinionParts } from './minion-parts.js';
import { createMinionParts } from './minion-parts.js';
import { MinionTokens } from './minion-tokens.js';
import type { MinionTracker } from './minion-tracker.js';
import { pollCandidate } from './poll-candidate.js';

const RETRY_DELAY_MILLISECONDS = 120;

const MAXIMUM_LOGGED_TASKS = 16;

/** Sends orders to the minion, renews its lease, and reports its runs. */
export class MinionDriver {
  private readonly options: MinionDriverOptions;

  private readonly parts: MinionParts;

  private readonly tokens = new MinionTokens();

  private stopped = false;

  public constructor(options: MinionDriverOptions) {
    this.options = options;
    this.parts = createMinionParts(options, {
      onEnd: minion => {
        this.resetIncarnation(minion);
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
        this.tokens.current = message.fencingToken;
        this.parts.lease.setDuration(message.leaseMilliseconds);
        this.parts.orders.reset(message.fencingToken);
        this.sendReport();
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
      const fencingToken = this.tokens.current;
      if (this.tokens.isAccepted) {
        await pollCandidate(this.minion, this.options.client, fencingToken);
      }
      const { current: minion } = this.minion;
      if (minion === undefined || !this.isCallable(minion)) {
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
          this.tokens.recordRefusal(fencingToken);
          this.options.onFenced();
        }
        await pause(RETRY_DELAY_MILLISECONDS);
      }
    }
  }

  private async poll(peer: MinionIncarnation): Promise<void> {
    const { time, logger } = this.options;
    const { parts } = this;
    const fencingToken = this.tokens.current;
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

  /** Returns whether the minion can be called; asks for a later token if need be. */
  private isCallable({ identifier }: MinionIncarnation): boolean {
    if (this.tokens.needsRenewal(identifier)) {
      this.options.onTokenNeeded();
    }
    return this.tokens.isAccepted && !this.tokens.isSpentFor(identifier);
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

  /** Reports the lists; an incarnation without lists is reported as none. */
  private sendReport(): void {
    const { polled, unsettled, orders } = this.parts;
    const fencingToken = this.tokens.current;
    const minion = polled.isEmpty ? undefined : this.minion.current;
    if (minion !== undefined && polled.fencingToken !== fencingToken) {
      return;
    }
    const tasks = unsettled.tasks(minion?.description.incarnation);
    this.options.report({
      fencingToken,
      minion: minion?.description ?? null,
      ...polled.lists(),
      refusals: orders.refusals(),
      gone: this.minion.departed(),
      ...(tasks.length > 0 ? { unsettled: tasks } : {}),
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

  /** Clears the state of an incarnation; calls for it may be taken by the next one. */
  private resetIncarnation({ identifier }: MinionIncarnation): void {
    const { lease, polled, orders, throttler, unsettled } = this.parts;
    lease.reset();
    polled.reset();
    orders.reset(this.tokens.current);
    throttler.reset();
    this.tokens.clearRefusal();
    if (unsettled.hasPendingCalls(this.options.time.steady())) {
      this.tokens.spend(identifier);
      const tasks = unsettled.tasks(undefined);
      const names = tasks.slice(0, MAXIMUM_LOGGED_TASKS).join(' ');
      const fields = { identifier, tasks: names, count: tasks.length };
      this.options.logger.warn('The next life may take earlier calls.', fields);
    }
  }
}
