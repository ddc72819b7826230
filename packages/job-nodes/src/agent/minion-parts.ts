import { GrantedLease } from './granted-lease.js';
import type { MinionDriverOptions } from './minion-driver-options.js';
import { MinionPoller } from './minion-poller.js';
import { MinionTracker } from './minion-tracker.js';
import type { MinionTrackerOptions } from './minion-tracker-options.js';
import { OrderRunner } from './order-runner.js';
import { PolledRuns } from './polled-runs.js';
import { Throttler } from './throttler.js';
import { UnsettledStarts } from './unsettled-starts.js';

/** What a driver knows of its minion, and how it calls it. */
export interface MinionParts {
  readonly minion: MinionTracker;
  readonly lease: GrantedLease;
  readonly unsettled: UnsettledStarts;
  readonly polled: PolledRuns;
  readonly throttler: Throttler;
  readonly poller: MinionPoller;
  readonly orders: OrderRunner;
}

/** Creates the parts of a driver. */
export function createMinionParts(
  options: MinionDriverOptions,
  callbacks: Pick<MinionTrackerOptions, 'onEnd' | 'onChange'>,
): MinionParts {
  const { client, time, logger, minionLimits } = options;
  const minion = new MinionTracker({ logger, ...callbacks });
  const lease = new GrantedLease(minionLimits);
  const unsettled = new UnsettledStarts(minionLimits);
  const polled = new PolledRuns();
  const throttler = new Throttler({
    client,
    estimates: options.imageStatistics,
    logger,
  });
  const poller = new MinionPoller({
    client,
    lease,
    polled,
    throttler,
    unsettled,
  });
  const orders = new OrderRunner({
    client,
    time,
    logger,
    unsettled,
    isSameClock: clock => lease.isSameClock(clock, time.steady()),
    expiry: () =>
      minion.isSilent ? undefined : lease.startExpiry(time.steady()),
    onStarted: (incarnation, order, token) => {
      void throttler.started(incarnation, order, polled.running, token);
    },
    onRefusal: callbacks.onChange,
  });
  return { minion, lease, unsettled, polled, throttler, poller, orders };
}
