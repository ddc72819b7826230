import { messageOf } from '@basilcourse/foundation/errors/message-of';
import type { UpstreamRegistry } from '@basilcourse/request-plane/agent/upstream-registry';
import type { PlatformWorker } from '@basilcourse/scheduler/platform/platform-worker';
import type { ThrottleDirection } from '@basilcourse/scheduler/pressure/decide-throttle';
import {
  decideThrottle,
  nextShare,
} from '@basilcourse/scheduler/pressure/decide-throttle';
import type { ServiceTimeWindows } from '@basilcourse/scheduler/pressure/service-time-windows';
import * as Effect from 'effect/Effect';

import type { NodeCore } from './node-core.js';

const STEP_INTERVAL_MILLISECONDS = 500;

/** Number of steps per increase of shares while all targets are met. */
const STEPS_PER_INCREASE = 4;

async function adjustThrottles(
  core: NodeCore,
  worker: PlatformWorker,
  direction: ThrottleDirection,
): Promise<boolean> {
  const report = await worker.sync({ renewals: [], acknowledged: [] });
  const batch = report.tasks.filter(
    ({ attempt, state }) => state === 'running' && attempt.startsWith('job/'),
  );
  let changed = false;
  for (const { attempt, throttle } of batch) {
    const share = nextShare(throttle, direction);
    if (share !== throttle) {
      changed = true;
      await worker.throttle(attempt, share);
      const percent = Math.round(share * 100);
      core.events.record('attempt-throttled', `${attempt} to ${percent} %.`, {
        job: attempt,
        worker: core.settings.worker?.worker ?? '',
      });
    }
  }
  return changed;
}

function directionOf(
  core: NodeCore,
  registry: UpstreamRegistry,
  serviceTimes: ServiceTimeWindows,
): ThrottleDirection {
  const { configuration } = core.state.fold;
  return decideThrottle({
    latencyWeight: configuration.limits.latencyWeight,
    services: registry.all.map(({ attempt, service }) => ({
      attempt,
      targetMilliseconds:
        configuration.services.get(service)?.targetMilliseconds ??
        Number.POSITIVE_INFINITY,
    })),
    serviceTimes,
  });
}

/**
 * Throttles the batch tasks of the VM while a service on it is slower than its
 * target, and increases their shares step by step afterwards.
 */
export function throttleBatchTasks(
  core: NodeCore,
  registry: UpstreamRegistry,
  serviceTimes: ServiceTimeWindows,
): Effect.Effect<never> {
  let increaseSteps = 0;
  const step = Effect.suspend(() => {
    const direction = directionOf(core, registry, serviceTimes);
    increaseSteps = direction === 'increase' ? increaseSteps + 1 : 0;
    const isSkipped =
      direction === 'increase' && increaseSteps % STEPS_PER_INCREASE !== 0;
    const address = core.settings.worker?.address;
    if (address === undefined || direction === 'keep' || isSkipped) {
      return Effect.void;
    }
    const worker = core.dependencies.workerAt(address);
    return Effect.tryPromise(() =>
      adjustThrottles(core, worker, direction),
    ).pipe(
      Effect.match({
        onSuccess: changed => {
          if (changed) {
            serviceTimes.reset();
          }
        },
        onFailure: error => {
          const reason = messageOf(error);
          core.logger.warn('The worker took no throttle.', { reason });
        },
      }),
    );
  });
  return step.pipe(
    Effect.zipRight(Effect.sleep(STEP_INTERVAL_MILLISECONDS)),
    Effect.forever,
  );
}
