import { JsonServer } from '@basilcourse/foundation/http/json-server';
import { ClaimMemory } from '@basilcourse/request-plane/claim/claim-memory';
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
import { announceNow, heartbeatParts, keepHeartbeats } from './heartbeats.js';
import { leaveDeployment } from './leave-deployment.js';
import type { Node } from './node.js';
import type { NodeCore } from './node-core.js';
import { NodeTasks } from './node-tasks.js';
import { noteOutcomes } from './note-outcomes.js';

const SWEEP_MILLISECONDS = 500;

/** Wait for the first append of a starting entry. */
const JOIN_PATIENCE_MILLISECONDS = 600_000;

/** A process between the callers and the upstreams. */
export class EntryNode implements Node {
  private readonly memory: ClaimMemory;

  private readonly callers: CallerServer;

  private readonly control: ControlServer;

  private readonly operators: JsonServer;

  private readonly tasks: NodeTasks;

  private readonly heartbeats: HeartbeatDependencies;

  private readonly cells: CellManager;

  private boundCallers = '';

  public constructor(public readonly core: NodeCore) {
    const { clock, events, instance, settings, state, metrics } = core;
    const { members, loads, clients, own } = core;
    const { random, identifiers } = core.dependencies;
    this.memory = new ClaimMemory(clock.now());
    this.tasks = new NodeTasks(core.logger);
    this.cells = new CellManager(core);
    const history = new DecisionHistory();
    noteOutcomes(core, history);
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
      memory: this.memory,
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
    this.callers = new CallerServer({
      dispatcher,
      services: () => state.fold.configuration.services,
      clock,
      identifiers,
      events,
      observer: metrics.requestObserver,
    });
    metrics.watchEntry({
      inFlight: () => this.callers.requestsInFlight,
      retries: () => retryBudget.spent,
      crossRegionBytes: () => crossRegionBytes.spent,
    });
    const exchange = exchangeRoutes({
      members,
      loads,
      self: own.get,
      refute: told => own.refute(told),
      clock,
    });
    const recall = entryRoutes({ memory: this.memory, clock, instance });
    const relay = recordRoutes(core);
    this.control = new ControlServer(settings.keys, routes => {
      exchange(routes);
      recall(routes);
      relay(routes);
    });
    this.operators = new JsonServer(
      createEntryOperatorRoutes(core, {
        history,
        cells: this.cells,
        router,
        isStopping: () => this.callers.isLeaving,
      }),
    );
    this.heartbeats = heartbeatParts(core, () => []);
  }

  /** Where callers send their requests. */
  public get callersAddress(): string {
    return this.boundCallers;
  }

  /** Bytes exchanged with other processes that called this one. */
  public get controlBytes(): number {
    return this.control.bytes;
  }

  public async start(): Promise<void> {
    const { core } = this;
    const { settings, own, events, logger } = core;
    const address = await this.control.listen(settings.controlAddress);
    const operatorsAddress = await this.operators.listen(
      settings.operatorsAddress,
    );
    own.update({ address, operatorsAddress });
    this.boundCallers = await this.callers.listen(settings.callersAddress);
    events.record('process-started', `Entry ${settings.name} at ${address}.`);
    const callersAddress = this.boundCallers;
    logger.info('Started.', { address, operatorsAddress, callersAddress });
    this.tasks.start('heartbeats', keepHeartbeats(core, this.heartbeats));
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
    events.record('process-stopping', 'Finishes what is in progress.');
    await this.callers.startLeaving(settings.noticeSeconds * 1000);
    own.update({ state: 'leaving' });
    await Effect.runPromise(announceNow(core, this.heartbeats));
    const drained = this.callers.drain();
    const longest = settings.shutdownSeconds * 1000;
    await Effect.runPromise(
      Effect.promise(() => drained).pipe(Effect.timeoutOption(longest)),
    );
    await Effect.runPromise(
      leaveDeployment(core, this.cells, this.memory, clock.now()),
    );
    events.record('process-stopped', 'Nothing is in progress.');
    await this.kill();
  }

  public async kill(): Promise<void> {
    await this.tasks.stop();
    await Promise.all([
      this.callers.close(),
      this.control.close(),
      this.operators.close(),
    ]);
  }

  private join(address: string): Effect.Effect<never> {
    const { appender, instance, clock } = this.core;
    return Effect.suspend(() =>
      appender.append(
        `joined-${instance}`,
        'entry-joined',
        { instance, address },
        clock.now() + JOIN_PATIENCE_MILLISECONDS,
      ),
    ).pipe(Effect.zipRight(Effect.never));
  }

  private sweepForever(): Effect.Effect<never> {
    const sweep = Effect.sync(() => {
      const { clock, members, state } = this.core;
      const now = clock.now();
      const { limits } = state.fold.configuration;
      const memory = limits.claimMemorySeconds * 1000;
      members.sweep(now);
      this.memory.sweep(memory, now);
    });
    return sweep.pipe(
      Effect.zipRight(Effect.sleep(SWEEP_MILLISECONDS)),
      Effect.forever,
    );
  }
}
