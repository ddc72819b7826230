import { rendezvousRank } from '@basilcourse/foundation/util/rendezvous-rank';
import type { Scheduling } from '@basilcourse/shared-state/scheduling/scheduling';

/** Time during which an attempt may own keys. */
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
 * Returns the attempts whose agents have owned a key at any time since `since`,
 * the current owner first. Depends on the records of the log only.
 *
 * A key is owned by the agent on the VM of the attempt of its service that
 * ranks first by rendezvous hashing. Attempts of an unreachable worker are
 * skipped.
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
