import { ConcurrencyLimit } from '@basilcourse/foundation/async/concurrency-limit';
import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { neverConnected } from '@basilcourse/foundation/errors/never-connected';
import type { StartOrder } from '@basilcourse/jobs/model/start-order';
import type { StartRefusal } from '@basilcourse/jobs/model/start-refusal';
import type { StopOrder } from '@basilcourse/jobs/model/stop-order';

import { pause } from '../time/pause.js';
import { FencedError } from './fenced-error.js';
import type { MinionIncarnation } from './minion-incarnation.js';
import type { OrderRunnerOptions } from './order-runner-options.js';
import type { StartResult } from './start-result.js';

/** A start that gets no answer is revoked after this many tries. */
const MAXIMUM_START_TRIES = 2;

/** Starts that the minion is called for at once; others wait their turn. */
const MAXIMUM_CONCURRENT_STARTS = 3;

const RETRY_DELAY_MILLISECONDS = 60;

const MAXIMUM_RETRY_DELAY_MILLISECONDS = 500;

interface RevokedStart {
  readonly order: StopOrder;
  readonly token: number;
  readonly revokedAt: number;
}

/**
 * Carries out starts and stops. Each start results in a run that the minion
 * lists, or in a refusal.
 */
export class OrderRunner {
  private readonly options: OrderRunnerOptions;

  private readonly refused = new Map<string, StartRefusal>();

  private readonly revoked = new Map<string, RevokedStart>();

  private readonly stopping = new Set<string>();

  private readonly startCalls = new ConcurrencyLimit(MAXIMUM_CONCURRENT_STARTS);

  private fencingToken = 0;

  /**
   * Increases with each stream and each incarnation; orders of earlier
   * generations are abandoned.
   */
  private generation = 0;

  public constructor(options: OrderRunnerOptions) {
    this.options = options;
  }

  /** Refused starts that the leader has not stored yet. */
  public refusals(): readonly StartRefusal[] {
    return [...this.refused.values()];
  }

  /** Abandons the orders of an earlier stream or incarnation. */
  public reset(fencingToken: number): void {
    this.fencingToken = fencingToken;
    this.generation += 1;
    this.refused.clear();
    this.revoked.clear();
    this.stopping.clear();
  }

  /**
   * Counts revoked starts as refused if a later poll does not list their runs.
   *
   * @param listed - `task/run` of each running task and ended run of a poll.
   * @param requestedAt - Time of the poll, in monotonic milliseconds.
   */
  public resolveRevoked(
    listed: ReadonlySet<string>,
    requestedAt: number,
  ): void {
    for (const [key, { order, token, revokedAt }] of this.revoked) {
      if (revokedAt < requestedAt) {
        this.revoked.delete(key);
        if (!listed.has(key)) {
          this.refuse(order, token, 'no answer, revoked');
        }
      }
    }
  }

  /** Removes refusals that the leader has stored. */
  public removeStoredRefusals(keys: readonly string[]): void {
    for (const key of keys) {
      this.refused.delete(key);
    }
  }

  /** Carries out starts. */
  public start(
    minion: MinionIncarnation | undefined,
    starts: readonly StartOrder[],
  ): void {
    const token = this.fencingToken;
    for (const order of starts) {
      void this.startOne(minion, order, token);
    }
  }

  /** Carries out stops, except those that are already in progress. */
  public stop(
    minion: MinionIncarnation | undefined,
    stops: readonly StopOrder[],
  ): void {
    for (const order of stops) {
      const key = keyOf(order);
      if (minion !== undefined && !this.stopping.has(key)) {
        this.stopping.add(key);
        void this.stopOne(
          minion,
          order,
          this.fencingToken,
          this.generation,
        ).finally(() => {
          this.stopping.delete(key);
        });
      }
    }
  }

  private async startOne(
    minion: MinionIncarnation | undefined,
    order: StartOrder,
    token: number,
  ): Promise<void> {
    if (minion === undefined || !acceptsStarts(minion)) {
      this.refuse(order, token, 'the minion takes no starts');
      return;
    }
    const { generation } = this;
    let unanswered = false;
    for (let tries = 1; tries <= MAXIMUM_START_TRIES; tries += 1) {
      try {
        const result = await this.callStart(minion, order, token, generation);
        if (result === undefined) {
          return;
        }
        if (result.kind === 'started') {
          this.options.onStarted(minion, order, token);
          return;
        }
        if (!unanswered) {
          this.refuse(order, token, result.reason);
          return;
        }
        // The try without an answer may have begun the run, or may still begin it.
        break;
      } catch (error) {
        unanswered = true;
        this.warn('A start got no answer.', order, error);
        await pause(RETRY_DELAY_MILLISECONDS);
      }
    }
    if (await this.stopOne(minion, order, token, generation)) {
      this.revoked.set(keyOf(order), {
        order,
        token,
        revokedAt: this.options.time.steady(),
      });
    }
  }

  /**
   * Calls the minion when its turn has come; undefined if the order is abandoned.
   * A start that certainly was not sent counts as refused.
   */
  private callStart(
    minion: MinionIncarnation,
    order: StartOrder,
    token: number,
    generation: number,
  ): Promise<StartResult | undefined> {
    return this.startCalls.run(async () => {
      if (generation !== this.generation) {
        return undefined;
      }
      const expiresAt = this.options.expiry();
      if (expiresAt === undefined) {
        return { kind: 'refused', reason: 'no lease' };
      }
      try {
        return await this.options.client.start(minion, order, expiresAt, token);
      } catch (error) {
        if (neverConnected(error)) {
          return { kind: 'refused', reason: 'no connection' };
        }
        throw error;
      }
    });
  }

  /**
   * Stops a run, with retries until the minion answers. Returns true once the
   * run has ended or can never begin; false if another stream or incarnation
   * follows first.
   */
  private async stopOne(
    minion: MinionIncarnation,
    order: StopOrder,
    token: number,
    generation: number,
  ): Promise<boolean> {
    let delay = RETRY_DELAY_MILLISECONDS;
    while (generation === this.generation) {
      try {
        await this.options.client.stop(minion, order, token);
        return generation === this.generation;
      } catch (error) {
        this.warn('A stop got no answer.', order, error);
        if (error instanceof FencedError) {
          return false;
        }
        await pause(delay);
        delay = Math.min(MAXIMUM_RETRY_DELAY_MILLISECONDS, delay * 2);
      }
    }
    return false;
  }

  private refuse(order: StopOrder, token: number, reason: string): void {
    const { task, run } = order;
    this.options.logger.info('A start was refused.', { task, run, reason });
    if (token === this.fencingToken) {
      this.refused.set(keyOf(order), { task, run, reason });
      this.options.onRefusal();
    }
  }

  private warn(sentence: string, order: StopOrder, error: unknown): void {
    const { task, run } = order;
    this.options.logger.warn(sentence, { task, run, reason: messageOf(error) });
  }
}

function keyOf({ task, run }: StopOrder): string {
  return `${task}/${run}`;
}

function acceptsStarts({ description }: MinionIncarnation): boolean {
  return !description.draining && description.silent !== true;
}
