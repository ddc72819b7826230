import type { MinionClient } from '../agent/minion-client.js';
import type { TimeSource } from '../time/time-source.js';
import type { StepObserver } from './step-observer.js';
import { timed } from './timed.js';

/**
 * Wraps a client so that the duration of its orders is observed. Polls are not
 * observed, as their answers are delayed on purpose.
 */
export function observedMinionClient(
  client: MinionClient,
  observe: StepObserver,
  time: TimeSource,
): MinionClient {
  return {
    start: (minion, order, expiresAt, fencingToken) =>
      timed(observe, time, 'minion-start', () =>
        client.start(minion, order, expiresAt, fencingToken),
      ),
    stop: (minion, order, fencingToken) =>
      timed(observe, time, 'minion-stop', () =>
        client.stop(minion, order, fencingToken),
      ),
    poll: (minion, poll) => client.poll(minion, poll),
    throttle: (minion, order, percentage, fencingToken) =>
      timed(observe, time, 'minion-pace', () =>
        client.throttle(minion, order, percentage, fencingToken),
      ),
  };
}
