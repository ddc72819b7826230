import { ConcurrencyLimit } from '@basilcourse/foundation/async/concurrency-limit';
import { neverConnected } from '@basilcourse/foundation/errors/never-connected';
import type { StartOrder } from '@basilcourse/jobs/model/start-order';

import type { MinionIncarnation } from './minion-incarnation.js';
import type { OrderRunnerOptions } from './order-runner-options.js';
import type { StartResult } from './start-result.js';
import { WrongMinionError } from './wrong-minion-error.js';

/** Starts that the minion is called for at once; others wait their turn. */
const MAXIMUM_CONCURRENT_STARTS = 3;

/**
 * Sends starts to the minion, each once, so that no second copy of one can be
 * carried out late, and records those that another incarnation may carry out.
 */
export class StartSender {
  private readonly options: OrderRunnerOptions;

  private readonly calls = new ConcurrencyLimit(MAXIMUM_CONCURRENT_STARTS);

  public constructor(options: OrderRunnerOptions) {
    this.options = options;
  }

  /**
   * Sends a start when its turn has come; undefined if it is abandoned. A start
   * that certainly was not carried out counts as refused.
   *
   * @throws PeerUnreachableError if the start got no answer.
   */
  public send(
    minion: MinionIncarnation,
    order: StartOrder,
    fencingToken: number,
    isAbandoned: () => boolean,
  ): Promise<StartResult | undefined> {
    return this.calls.run(async () => {
      if (isAbandoned()) {
        return undefined;
      }
      const expiresAt = this.options.expiry();
      if (expiresAt === undefined) {
        return { kind: 'refused', reason: 'no lease' };
      }
      const { incarnation } = minion.description;
      const sentAt = this.options.time.steady();
      this.options.unsettled.add({ order, fencingToken, incarnation, sentAt });
      const result = await this.call(
        minion,
        order,
        expiresAt,
        fencingToken,
        sentAt,
      );
      if (this.isKnown(result)) {
        this.options.unsettled.settle(order);
      }
      return result;
    });
  }

  private async call(
    minion: MinionIncarnation,
    order: StartOrder,
    expiresAt: number,
    fencingToken: number,
    sentAt: number,
  ): Promise<StartResult> {
    try {
      return await this.options.client.start(
        minion,
        order,
        expiresAt,
        fencingToken,
      );
    } catch (error) {
      const reason = reasonNotCarriedOut(error);
      if (reason === undefined) {
        this.options.unsettled.recordUnanswered(sentAt);
        throw error;
      }
      return { kind: 'refused', reason };
    }
  }

  /** Whether a start was refused, or the intended incarnation carried it out. */
  private isKnown(result: StartResult): boolean {
    return (
      result.kind === 'refused' ||
      (result.clock !== undefined && this.options.isSameClock(result.clock))
    );
  }
}

/** Returns why a start that failed certainly was not carried out, if it was not. */
function reasonNotCarriedOut(error: unknown): string | undefined {
  if (error instanceof WrongMinionError) {
    return 'another incarnation';
  }
  return neverConnected(error) ? 'no connection' : undefined;
}
