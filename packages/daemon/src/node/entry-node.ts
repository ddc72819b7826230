import { JsonServer } from '@basilcourse/foundation/http/json-server';
import { EntryClaims } from '@basilcourse/request-plane/claim/entry-claims';
import { KeyClaimer } from '@basilcourse/request-plane/claim/key-claimer';
import { CallerServer } from '@basilcourse/request-plane/entry/caller-server';
import { RequestDispatcher } from '@basilcourse/request-plane/entry/request-dispatcher';
import type { HeartbeatDependencies } from '@basilcourse/request-plane/membership/exchange-heartbeats';
import { exchangeRoutes } from '@basilcourse/request-plane/membership/exchange-routes';
import { RetryBudget } from '@basilcourse/request-plane/retry/retry-budget';
import { ByteBudget } from '@basilcourse/request-plane/routing/byte-budget';
import { OutlierDetector } from '@basilcourse/request-plane/routing/outlier-detector';
import { UnreachableAgents } from '@basilcourse/request-plane/routing/unreachable-agents';
import { UpstreamRouter } from '@basilcourse/request-plane/routing/upstream-router';
import { ControlServer } from '@basilcourse/request-plane/transport/control-server';
import { entryRoutes } from '@basilcourse/request-plane/transport/entry-routes';
import * as Effect from 'effect/Effect';

import { DecisionHistory } from '../operators/decision-history.js';
import { createEntryOperatorRoutes } from '../operators/entry-operator-routes.js';
import { recordRoutes } from '../relay/record-routes.js';
import { CellManager } from '../scheduling/cell-manager.js';
import { followLog } from './follow-log.js';
import {
  heartbeatDependencies,
  sendHeartbeatsForever,
  sendHeartbeatsNow,
} from './heartbeats.js';
import { leaveDeployment } from './leave-deployment.js';
import type { Node } from './node.js';
import type { NodeCore } from './node-core.js';
import { NodeTasks } from './node-tasks.js';
import { recordOutcomes } from './record-outcomes.js';

const SWEEP_INTERVAL_MILLISECONDS = 500;

/** Time limit for the append that registers a starting entry. */
const JOIN_TIMEOUT_MILLISECONDS = 600_000;

/** The process that routes requests of callers to upstreams. */
export class EntryNode implements Node {
  private readonly entryClaims: EntryClaims;

  private readonly callerServer: CallerServer;

  private readonly controlServer: ControlServer;

  private readonly operatorsServer: JsonServer;

  private readonly tasks: NodeTasks;

  private readonly heartbeats: HeartbeatDependencies;

  private readonly cells: CellManager;

  private boundCallersAddress = '';

  public constructor(public readonly core: NodeCore) {
    const { clock, events, instance, settings, state, metrics } = core;
    const { members, loads, clients, own } = core;
    const { random, identifiers } = core.dependencies;
    this.entryClaims = new EntryClaims(clock.now());
    this.tasks = new NodeTasks(core.logger);
    this.cells = new CellManager(core);
    const history = new DecisionHistory();
    recordOutcomes(core, history);
    const outliers = new OutlierDetector(random);
    const unreachableAgents = new UnreachableAgents();
    const retryBudget = new RetryBudget();
    const crossRegionBytes = new ByteBudget(
      () => state.fold.configuration.limits.crossRegionBytesPerSecond,
      clock.now(),
    );
    const router = new UpstreamRouter({
      members,
      loads,
      outliers,
      unreachableAgents,
      crossRegionBytes,
      clock,
      random,
      region: settings.region,
      policy: settings.routing,
    });
    const claimer = new KeyClaimer({
      state,
      members,
      entryClaims: this.entryClaims,
      clients,
      clock,
      events,
      random,
      instance,
    });
    const dispatcher = new RequestDispatcher({
      clients,
      loads,
      events,
      entryId: settings.name,
      router,
      outliers,
      unreachableAgents,
      retryBudget,
      claimer,
      crossRegionBytes,
      clock,
      random,
    });
    this.callerServer = new CallerServer({
      dispatcher,
      services: () => state.fold.configuration.services,
      clock,
      identifiers,
      events,
      observer: metrics.requestObserver,
    });
    metrics.registerEntryGauges({
      inFlight: () => this.callerServer.requestsInFlight,
      retries: () => retryBudget.spent,
      crossRegionBytes: () => crossRegionBytes.spent,
    });
    const registerMembership = exchangeRoutes({
      members,
      loads,
      self: own.get,
      refute: reported => own.refute(reported),
      clock,
    });
    const registerClaims = entryRoutes({
      entryClaims: this.entryClaims,
      clock,
      instance,
    });
    const registerRelay = recordRoutes(core);
    this.controlServer = new ControlServer(settings.keys, routes => {
      registerMembership(routes);
      registerClaims(routes);
      registerRelay(routes);
    });
    this.operatorsServer = new JsonServer(
      createEntryOperatorRoutes(core, {
        history,
        cells: this.cells,
        router,
        isStopping: () => this.callerServer.isLeaving,
      }),
    );
    this.heartbeats = heartbeatDependencies(core, () => []);
  }

  /** Address at which callers send their requests. */
  public get callersAddress(): string {
    return this.boundCallersAddress;
  }

  /** Bytes exchanged over calls that other processes made to this one. */
  public get controlBytes(): number {
    return this.controlServer.bytes;
  }

  public async start(): Promise<void> {
    const { core } = this;
    const { settings, own, events, logger } = core;
    const address = await this.controlServer.listen(settings.controlAddress);
    const operatorsAddress = await this.operatorsServer.listen(
      settings.operatorsAddress,
    );
    own.update({ address, operatorsAddress });
    this.boundCallersAddress = await this.callerServer.listen(
      settings.callersAddress,
    );
    events.record('process-started', `Entry ${settings.name} at ${address}.`);
    const callersAddress = this.boundCallersAddress;
    logger.info('Started.', { address, operatorsAddress, callersAddress });
    this.tasks.start(
      'heartbeats',
      sendHeartbeatsForever(core, this.heartbeats),
    );
    this.tasks.start(
      'follow',
      followLog(core, () => this.cells.holdsAny()),
    );
    this.tasks.start('sweep', this.sweepForever());
    this.tasks.start('cells', this.cells.run());
    this.tasks.start('join', this.join(address));
  }

  public async stop(): Promise<void> {
    const { core } = this;
    const { clock, events, own, settings } = core;
    events.record('process-stopping', 'Draining work in progress.');
    await this.callerServer.startLeaving(settings.noticeSeconds * 1000);
    own.update({ state: 'leaving' });
    await Effect.runPromise(sendHeartbeatsNow(core, this.heartbeats));
    const drained = this.callerServer.drain();
    const timeoutMilliseconds = settings.shutdownSeconds * 1000;
    await Effect.runPromise(
      Effect.promise(() => drained).pipe(
        Effect.timeoutOption(timeoutMilliseconds),
      ),
    );
    await Effect.runPromise(
      leaveDeployment(core, this.cells, this.entryClaims, clock.now()),
    );
    events.record('process-stopped', 'No work is in progress.');
    await this.kill();
  }

  public async kill(): Promise<void> {
    await this.tasks.stop();
    await Promise.all([
      this.callerServer.close(),
      this.controlServer.close(),
      this.operatorsServer.close(),
    ]);
  }

  private join(address: string): Effect.Effect<never> {
    const { appender, instance, clock } = this.core;
    return Effect.suspend(() =>
      appender.append(
        `joined-${instance}`,
        'entry-joined',
        { instance, address },
        clock.now() + JOIN_TIMEOUT_MILLISECONDS,
      ),
    ).pipe(Effect.zipRight(Effect.never));
  }

  private sweepForever(): Effect.Effect<never> {
    const sweep = Effect.sync(() => {
      const { clock, members, state } = this.core;
      const now = clock.now();
      const { limits } = state.fold.configuration;
      const retentionMilliseconds = limits.claimMemorySeconds * 1000;
      members.sweep(now);
      this.entryClaims.sweep(retentionMilliseconds, now);
    });
    return sweep.pipe(
      Effect.zipRight(Effect.sleep(SWEEP_INTERVAL_MILLISECONDS)),
      Effect.forever,
    );
  }
}
