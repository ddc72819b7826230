import { add } from '@basilcourse/shared-state/resources/add';
import { fits } from '@basilcourse/shared-state/resources/fits';
import type { Attempt } from '@basilcourse/shared-state/scheduling/attempt';

import type { PlacementRequest } from '../placement/placement-request.js';
import { cheapestVictims } from './cheapest-victims.js';
import type { PlanPass } from './plan-pass.js';

interface Preemption {
  readonly worker: string;
  readonly victims: readonly Attempt[];
}

function victimsOn(
  pass: PlanPass,
  worker: string,
  request: PlacementRequest,
  mayEvict: (attempt: Attempt) => boolean,
): readonly Attempt[] | undefined {
  const attempts = pass.input.scheduling.attemptsOn(worker);
  const victims: Attempt[] = [];
  let available = pass.capacity.availableAfterEvictions(worker);
  for (const victim of cheapestVictims(pass, attempts).filter(mayEvict)) {
    if (fits(request.resources, available)) {
      break;
    }
    victims.push(victim);
    available = add(available, victim.resources);
  }
  return fits(request.resources, available) ? victims : undefined;
}

/**
 * Evicts batch attempts on the worker that needs the fewest evictions, cheapest
 * first, and reserves the released resources for the task.
 *
 * @returns Whether a worker was found.
 */
export function preemptBatch(
  pass: PlanPass,
  request: PlacementRequest,
  reason: string,
  mayEvict: (attempt: Attempt) => boolean = () => true,
): boolean {
  let best: Preemption | undefined;
  for (const { worker } of pass.candidatesFor(request)) {
    const victims = victimsOn(pass, worker, request, mayEvict);
    const isBetter =
      victims !== undefined &&
      (best === undefined || victims.length < best.victims.length);
    if (isBetter) {
      best = { worker, victims };
    }
  }
  if (best === undefined) {
    return false;
  }
  for (const victim of best.victims) {
    pass.evict(victim, reason);
  }
  pass.capacity.reservePendingRelease(best.worker, request.resources);
  return true;
}
