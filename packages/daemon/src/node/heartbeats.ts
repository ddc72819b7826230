import { entriesForAgent } from '@basilcourse/request-plane/membership/entries-for-agent';
import type { HeartbeatDependencies } from '@basilcourse/request-plane/membership/exchange-heartbeats';
import {
  exchangeHeartbeat,
  exchangeHeartbeatsForever,
} from '@basilcourse/request-plane/membership/exchange-heartbeats';
import { runTaskPerPeer } from '@basilcourse/request-plane/membership/run-task-per-peer';
import * as Effect from 'effect/Effect';

import type { NodeCore } from './node-core.js';

/** Creates the parts that a node's heartbeats work on. */
export function heartbeatParts(
  core: NodeCore,
  loads: HeartbeatDependencies['loads'],
): HeartbeatDependencies {
  const { transports, members, own, clock } = core;
  const { random } = core.dependencies;
  return { transports, members, own, clock, random, loads };
}

function knownEntries(core: NodeCore): readonly string[] {
  return core.members
    .ofRole('entry')
    .filter(({ member }) => member.id !== core.own.get().id)
    .map(({ member }) => member.address);
}

/** Addresses that a node sends its heartbeats to. */
export function heartbeatPeers(core: NodeCore): readonly string[] {
  const self = core.own.get();
  const seeds = core.settings.entries.filter(
    address => address !== self.address,
  );
  const known = knownEntries(core);
  const addresses = known.length > 0 ? known : seeds;
  const all = [
    ...new Set([...addresses, ...(self.role === 'entry' ? seeds : [])]),
  ];
  return self.role === 'entry' ? all : entriesForAgent(self.id, all);
}

/** Sends heartbeats to the peers for as long as the node runs. */
export function keepHeartbeats(
  core: NodeCore,
  parts: HeartbeatDependencies,
): Effect.Effect<never> {
  return runTaskPerPeer(
    () => heartbeatPeers(core),
    address => exchangeHeartbeatsForever(parts, address),
  );
}

/** Tells all heartbeat peers at once that something has changed. */
export function announceNow(
  core: NodeCore,
  parts: HeartbeatDependencies,
): Effect.Effect<void> {
  const exchanges = heartbeatPeers(core).map(address =>
    exchangeHeartbeat(parts, address),
  );
  return Effect.all(exchanges, { concurrency: 'unbounded', discard: true });
}
