import { rendezvousRank } from '@basilcourse/foundation/util/rendezvous-rank';
import type { Member } from '@basilcourse/request-plane/membership/member';

/** Source from which a process reads the log. */
export type RecordSource =
  | { readonly kind: 'store' }
  | { readonly kind: 'peer'; readonly address: string };

const STORE: RecordSource = { kind: 'store' };

/**
 * Chooses the source of a process. In each availability zone one live entry,
 * chosen by rendezvous hashing, reads the store. The other entries of the zone
 * follow it, and agents follow an entry of their zone.
 *
 * @param failures - Number of consecutive failures of sources; each one selects
 *   the source that ranks next.
 */
export function chooseSource(
  own: Member,
  entries: readonly Member[],
  failures: number,
): RecordSource {
  const alive = entries.filter(
    ({ state, id }) => state === 'alive' && id !== own.id,
  );
  const inZone = alive.filter(
    ({ availabilityZone }) => availabilityZone === own.availabilityZone,
  );
  if (own.role === 'entry') {
    const ids = [own.id, ...inZone.map(({ id }) => id)];
    const reader = rendezvousRank(own.availabilityZone, ids)[failures % 2];
    const peer = inZone.find(({ id }) => id === reader);
    return peer === undefined ? STORE : { kind: 'peer', address: peer.address };
  }
  const inRegion = alive.filter(({ region }) => region === own.region);
  const nearby = inZone.length > 0 ? inZone : inRegion;
  const candidates = nearby.length > 0 ? nearby : alive;
  const ranked = rendezvousRank(
    own.id,
    candidates.map(({ address }) => address),
  );
  const address = ranked[failures % Math.max(1, ranked.length)];
  const exhausted = failures > 0 && failures % (ranked.length + 1) === 0;
  return address === undefined || exhausted ? STORE : { kind: 'peer', address };
}
