import type { MinionClient } from '../agent/minion-client.js';
import type { TimeSource } from '../time/time-source.js';
import type { StepObserver } from './step-observer.js';
import { timed } from './timed.js';

/** Returns the same client, with its orders observed; looks wait on purpose. */
export function observedMinionClient(
  client: MinionClient,
  observe: StepObserver,
  time: TimeSource,
): MinionClient {
  return {
    start: (life, order, expiresAt, fencingToken) =>
      timed(observe, time, 'minion-start', () =>
        client.start(life, order, expiresAt, fencingToken),
      ),
    stop: (life, order, fencingToken) =>
      timed(observe, time, 'minion-stop', () =>
        client.stop(life, order, fencingToken),
      ),
    look: (life, look) => client.look(life, look),
    pace: (life, order, percentage, fencingToken) =>
      timed(observe, time, 'minion-pace', () =>
        client.pace(life, order, percentage, fencingToken),
      ),
  };
}
