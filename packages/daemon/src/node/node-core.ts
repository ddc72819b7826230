import type { Clock } from '@basilcourse/foundation/clock/clock';
import { EventRing } from '@basilcourse/foundation/events/event-ring';
import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import type { PeerClients } from '@basilcourse/request-plane/entry/peer-clients';
import type { Member } from '@basilcourse/request-plane/membership/member';
import { MemberTable } from '@basilcourse/request-plane/membership/member-table';
import { OwnMember } from '@basilcourse/request-plane/membership/own-member';
import { LoadTable } from '@basilcourse/request-plane/routing/load-table';
import { createConnectClients } from '@basilcourse/request-plane/transport/connect-clients';
import { PeerTransports } from '@basilcourse/request-plane/transport/peer-transports';
import { RecordAppender } from '@basilcourse/shared-state/follow/record-appender';
import { SharedState } from '@basilcourse/shared-state/follow/shared-state';
import { StoreHealth } from '@basilcourse/shared-state/follow/store-health';

import { NodeMetrics } from '../operators/node-metrics.js';
import { RecordBuffer } from '../relay/record-buffer.js';
import type { Settings } from '../settings/settings.js';
import type { NodeDependencies } from './node-dependencies.js';

/** Components that every role has. */
export interface NodeCore {
  readonly settings: Settings;
  readonly dependencies: NodeDependencies;
  readonly instance: string;
  readonly clock: Clock;
  readonly events: EventRing;
  readonly state: SharedState;
  readonly health: StoreHealth;
  readonly appender: RecordAppender;
  readonly buffer: RecordBuffer;
  readonly members: MemberTable;
  readonly own: OwnMember;
  readonly loads: LoadTable;
  readonly transports: PeerTransports;
  readonly clients: PeerClients;
  readonly metrics: NodeMetrics;
  readonly logger: PartLogger;
}

function describeSelf(
  settings: Settings,
  instance: string,
  now: number,
): Member {
  const { worker } = settings;
  return {
    id: settings.name,
    instance,
    // Start time, so that a restarted process has a higher incarnation.
    incarnation: now,
    role: settings.role,
    address: settings.controlAddress,
    operatorsAddress: settings.operatorsAddress,
    region: settings.region,
    availabilityZone: settings.availabilityZone,
    rack: settings.rack,
    state: 'alive',
    workerAddress: worker?.address ?? '',
    worker: worker?.worker ?? '',
    processors: worker?.resources.processors ?? 0,
    memoryGigabytes: worker?.resources.memoryGigabytes ?? 0,
    accelerators: worker?.resources.accelerators ?? 0,
    upstreams: [],
    suspectedBy: [],
  };
}

/** Creates the components that every role has. */
export function createNodeCore(
  settings: Settings,
  dependencies: NodeDependencies,
): NodeCore {
  const { clock, random, log, identifiers } = dependencies;
  const instance = identifiers.next(settings.name);
  const events = new EventRing(settings.name, clock, settings.events);
  const state = new SharedState();
  const health = new StoreHealth(events);
  const transports = new PeerTransports(settings.keys, dependencies.openSocket);
  const buffer = new RecordBuffer();
  state.onOutcome(({ record }) => {
    buffer.add(record);
  });
  state.onReplaced(() => {
    buffer.clear();
    events.record('snapshot-loaded', `State at offset ${state.fold.next}.`);
  });
  const appender = new RecordAppender({
    log,
    state,
    health,
    clock,
    random,
    events,
    writer: instance,
  });
  return {
    settings,
    dependencies,
    instance,
    clock,
    events,
    state,
    health,
    appender,
    buffer,
    members: new MemberTable(settings.name, instance, events),
    own: new OwnMember(describeSelf(settings, instance, clock.now())),
    loads: new LoadTable(),
    transports,
    clients: createConnectClients(transports),
    metrics: new NodeMetrics(),
    logger: dependencies.logger(settings.role),
  };
}
