import { messageOf } from '@basilcourse/foundation/errors/message-of';
import type { StartOrder } from '@basilcourse/jobs/model/start-order';
import type { StartRefusal } from '@basilcourse/jobs/model/start-refusal';
import type { StopOrder } from '@basilcourse/jobs/model/stop-order';

import { pause } from '../time/pause.js';
import { FencedError } from './fenced-error.js';
import type { MinionLife } from './minion-life.js';
import type { OrderRunnerOptions } from './order-runner-options.js';

/** A start without an answer is tried so often, and then revoked. */
const START_TRIES = 2;

const RETRY_MILLISECONDS = 60;

const LONGEST_RETRY_MILLISECONDS = 500;

interface RevokedStart {
  readonly order: StopOrder;
  readonly token: number;
  readonly revokedAt: number;
}

/** Carries out starts and stops; each ends in a list or as a refusal. */
export class OrderRunner {
  private readonly options: OrderRunnerOptions;

  private readonly refused = new Map<string, StartRefusal>();

  private readonly revoked = new Map<string, RevokedStart>();

  private readonly stopping = new Set<string>();

  private fencingToken = 0;

  /** Rises with each stream and each life; orders of earlier ones end. */
  private generation = 0;

  public constructor(options: OrderRunnerOptions) {
    this.options = options;
  }

  /** Starts that did not happen and are not settled yet. */
  public refusals(): readonly StartRefusal[] {
    return [...this.refused.values()];
  }

  /** Forgets orders of an earlier stream or an earlier life. */
  public reset(fencingToken: number): void {
    this.fencingToken = fencingToken;
    this.generation += 1;
    this.refused.clear();
    this.revoked.clear();
    this.stopping.clear();
  }

  /**
   * Counts revoked starts as refused that lists show not to have begun.
   *
   * @param listed - Task and run of what runs or has ended.
   * @param askedAt - When the lists were asked for, on the steady clock.
   */
  public resolveRevoked(listed: ReadonlySet<string>, askedAt: number): void {
    for (const [key, { order, token, revokedAt }] of this.revoked) {
      if (revokedAt < askedAt) {
        this.revoked.delete(key);
        if (!listed.has(key)) {
          this.refuse(order, token, 'no answer, revoked');
        }
      }
    }
  }

  /** Forgets refusals that the leader has taken in. */
  public settle(keys: readonly string[]): void {
    for (const key of keys) {
      this.refused.delete(key);
    }
  }

  /** Carries out starts. */
  public start(
    life: MinionLife | undefined,
    starts: readonly StartOrder[],
  ): void {
    const token = this.fencingToken;
    for (const order of starts) {
      void this.startOne(life, order, token);
    }
  }

  /** Carries out stops that are not under way already. */
  public stop(life: MinionLife | undefined, stops: readonly StopOrder[]): void {
    for (const order of stops) {
      const key = keyOf(order);
      if (life !== undefined && !this.stopping.has(key)) {
        this.stopping.add(key);
        void this.stopOne(
          life,
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
    life: MinionLife | undefined,
    order: StartOrder,
    token: number,
  ): Promise<void> {
    if (life === undefined || life.description.draining) {
      this.refuse(order, token, 'the minion takes no starts');
      return;
    }
    const { generation } = this;
    let unanswered = false;
    for (let tries = 1; tries <= START_TRIES; tries += 1) {
      const expiresAt = this.options.expiry();
      if (expiresAt === undefined || generation !== this.generation) {
        break;
      }
      try {
        const { client } = this.options;
        const result = await client.start(life, order, expiresAt, token);
        if (result.kind === 'started') {
          this.options.onStarted(life, order, token);
          return;
        }
        if (!unanswered) {
          this.refuse(order, token, result.reason);
          return;
        }
        // The try without an answer may have begun, or may begin yet.
        break;
      } catch (error) {
        unanswered = true;
        this.warn('A start got no answer.', order, error);
        await pause(RETRY_MILLISECONDS);
      }
    }
    if (await this.stopOne(life, order, token, generation)) {
      this.revoked.set(keyOf(order), {
        order,
        token,
        revokedAt: this.options.time.steady(),
      });
    }
  }

  /**
   * Stops a run, again until the minion answers. Returns true once the run has
   * ended or can never begin; false if another stream or life follows first.
   */
  private async stopOne(
    life: MinionLife,
    order: StopOrder,
    token: number,
    generation: number,
  ): Promise<boolean> {
    let wait = RETRY_MILLISECONDS;
    while (generation === this.generation) {
      try {
        await this.options.client.stop(life, order, token);
        return generation === this.generation;
      } catch (error) {
        this.warn('A stop got no answer.', order, error);
        if (error instanceof FencedError) {
          return false;
        }
        await pause(wait);
        wait = Math.min(LONGEST_RETRY_MILLISECONDS, wait * 2);
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
