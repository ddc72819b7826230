import { entriesForAgent } from '@basilcourse/request-plane/membership/entries-for-agent';
import type { HeartbeatDependencies } from '@basilcourse/request-plane/membership/exchange-heartbeats';
import {
  exchangeHeartbeat,
  exchangeHeartbeatsForever,
} from '@basilcourse/request-plane/membership/exchange-heartbeats';
import { runTaskPerPeer } from '@basilcourse/request-plane/membership/run-task-per-peer';
import * as Effect from 'effect/Effect';

import type { NodeCore } from './node-core.js';

/** Creates the dependencies of a node's heartbeats. */
export function heartbeatDependencies(
  core: NodeCore,
  loads: HeartbeatDependencies['loads'],
): HeartbeatDependencies {
  const { transports, members, own, clock } = core;
  const { random } = core.dependencies;
  return { transports, members, own, clock, random, loads };
}

function otherEntries(core: NodeCore): readonly string[] {
  return core.members
    .ofRole('entry')
    .filter(({ member }) => member.id !== core.own.get().id)
    .map(({ member }) => member.address);
}

/** Addresses to which a node sends its heartbeats. */
export function heartbeatPeers(core: NodeCore): readonly string[] {
  const self = core.own.get();
  const seeds = core.settings.entries.filter(
    address => address !== self.address,
  );
  const others = otherEntries(core);
  const addresses = others.length > 0 ? others : seeds;
  const all = [
    ...new Set([...addresses, ...(self.role === 'entry' ? seeds : [])]),
  ];
  return self.role === 'entry' ? all : entriesForAgent(self.id, all);
}

/** Sends heartbeats to the peers for as long as the node runs. */
export function sendHeartbeatsForever(
  core: NodeCore,
  dependencies: HeartbeatDependencies,
): Effect.Effect<never> {
  return runTaskPerPeer(
    () => heartbeatPeers(core),
    address => exchangeHeartbeatsForever(dependencies, address),
  );
}

/** Sends a heartbeat to all peers at once, after a change of this node. */
export function sendHeartbeatsNow(
  core: NodeCore,
  dependencies: HeartbeatDependencies,
): Effect.Effect<void> {
  const exchanges = heartbeatPeers(core).map(address =>
    exchangeHeartbeat(dependencies, address),
  );
  return Effect.all(exchanges, { concurrency: 'unbounded', discard: true });
}
