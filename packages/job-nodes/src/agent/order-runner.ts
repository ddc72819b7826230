import { messageOf } from '@basilcourse/foundation/errors/message-of';
import type { StartOrder } from '@basilcourse/jobs/model/start-order';
import type { StartRefusal } from '@basilcourse/jobs/model/start-refusal';
import type { StopOrder } from '@basilcourse/jobs/model/stop-order';

import { pause } from '../time/pause.js';
import { FencedError } from './fenced-error.js';
import type { MinionIncarnation } from './minion-incarnation.js';
import type { OrderRunnerOptions } from './order-runner-options.js';
import { StartSender } from './start-sender.js';

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

  private readonly starts: StartSender;

  private fencingToken = 0;

  /**
   * Increases with each stream and each incarnation; orders of earlier
   * generations are abandoned.
   */
  private generation = 0;

  public constructor(options: OrderRunnerOptions) {
    this.options = options;
    this.starts = new StartSender(options);
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
    try {
      const result = await this.starts.send(
        minion,
        order,
        token,
        () => generation !== this.generation,
      );
      if (result?.kind === 'started') {
        this.options.onStarted(minion, order, token);
      } else if (result !== undefined) {
        this.refuse(order, token, result.reason);
      }
    } catch (error) {
      this.warn('A start got no answer.', order, error);
      await this.revoke(minion, order, token, generation);
    }
  }

  /** A start is sent once, so that no second copy of it can be carried out late. */
  private async revoke(
    minion: MinionIncarnation,
    order: StartOrder,
    token: number,
    generation: number,
  ): Promise<void> {
    if (await this.stopOne(minion, order, token, generation)) {
      this.revoked.set(keyOf(order), {
        order,
        token,
        revokedAt: this.options.time.steady(),
      });
    }
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
