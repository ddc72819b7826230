import type { GrantedLease } from './granted-lease.js';
import type { MinionClient } from './minion-client.js';
import type { MinionIncarnation } from './minion-incarnation.js';
import type { PollResult } from './poll-result.js';
import { pollWait } from './poll-wait.js';
import type { PolledRuns } from './polled-runs.js';
import type { Throttler } from './throttler.js';
import type { UnsettledStarts } from './unsettled-starts.js';

/** What a poll carries, and what determines how long it waits. */
interface MinionPollerOptions {
  readonly client: MinionClient;
  readonly lease: GrantedLease;
  readonly polled: PolledRuns;
  readonly throttler: Throttler;
  readonly unsettled: UnsettledStarts;
}

/** Polls the minion: renews its lease, and acknowledges ends that are stored. */
export class MinionPoller {
  private readonly options: MinionPollerOptions;

  public constructor(options: MinionPollerOptions) {
    this.options = options;
  }

  /**
   * Polls an incarnation of the minion.
   *
   * @param now - In monotonic milliseconds.
   */
  public async poll(
    minion: MinionIncarnation,
    fencingToken: number,
    now: number,
  ): Promise<PollResult> {
    const { client, lease, polled, throttler, unsettled } = this.options;
    const expiresAt = lease.expiry(now);
    try {
      return await client.poll(minion, {
        fencingToken,
        expiresAt,
        // A minion that did not answer may be the next incarnation.
        endsThrough: lease.isSilent ? 0 : polled.acknowledgedThrough,
        waitMilliseconds: pollWait({
          listsAreCurrent: polled.fencingToken === fencingToken,
          leased: expiresAt !== undefined,
          throttling: throttler.needsFreshMeasurements(polled.running),
        }),
      });
    } catch (error) {
      if (expiresAt !== undefined) {
        unsettled.recordUnanswered(now);
      }
      throw error;
    }
  }
}
