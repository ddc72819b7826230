import { rendezvousRank } from '@basilcourse/foundation/util/rendezvous-rank';
import type { Scheduling } from '@basilcourse/shared-state/scheduling/scheduling';

interface OwnershipPeriod {
  readonly attempt: string;
  readonly from: number;
  readonly until: number;
}

function ownershipPeriods(
  scheduling: Scheduling,
  service: string,
): readonly OwnershipPeriod[] {
  const workload = `service/${service}`;
  const active = scheduling
    .attemptsOf(workload)
    .filter(({ state }) => state !== 'lost')
    .map(({ id, keeperSince }) => ({
      attempt: id,
      from: keeperSince,
      until: Number.POSITIVE_INFINITY,
    }));
  const past = [...scheduling.pastMinions.values()]
    .filter(minion => minion.owner === workload)
    .map(({ attempt, keptFrom, keptUntil }) => ({
      attempt,
      from: keptFrom,
      until: keptUntil,
    }));
  return [...active, ...past];
}

function ownerAt(
  key: string,
  periods: readonly OwnershipPeriod[],
  time: number,
): string | undefined {
  const attempts = periods
    .filter(({ from, until }) => from <= time && time < until)
    .map(({ attempt }) => attempt);
  return rendezvousRank(key, attempts)[0];
}

/**
 * Attempts whose agents kept a key at some moment since a time, by the log
 * alone; the present keeper stands first.
 *
 * Each key is kept by the agent beside the first attempt of its service by
 * rendezvous hashing; attempts whose worker is silent are left out.
 */
export function keyOwnersSince(
  scheduling: Scheduling,
  service: string,
  key: string,
  since: number,
): readonly string[] {
  const periods = ownershipPeriods(scheduling, service);
  const currentOwner = ownerAt(key, periods, Number.MAX_SAFE_INTEGER);
  const changes = periods
    .flatMap(({ from, until }) => [from, until])
    .filter(time => time > since && Number.isFinite(time));
  const ownersInWindow = [since, ...changes].map(time =>
    ownerAt(key, periods, time),
  );
  const owners = [currentOwner, ...ownersInWindow].filter(
    owner => owner !== undefined,
  );
  return [...new Set(owners)];
}
