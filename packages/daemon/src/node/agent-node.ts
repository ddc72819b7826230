import { JsonServer } from '@basilcourse/foundation/http/json-server';
import { AgentClaims } from '@basilcourse/request-plane/agent/agent-claims';
import type { Announcement } from '@basilcourse/request-plane/agent/announcement';
import { RequestRunner } from '@basilcourse/request-plane/agent/request-runner';
import { RunLedger } from '@basilcourse/request-plane/agent/run-ledger';
import { UpstreamRegistry } from '@basilcourse/request-plane/agent/upstream-registry';
import type { HeartbeatDependencies } from '@basilcourse/request-plane/membership/exchange-heartbeats';
import {
  agentRoutes,
  loadReportOf,
} from '@basilcourse/request-plane/transport/agent-routes';
import { ControlServer } from '@basilcourse/request-plane/transport/control-server';
import { ServiceTimeWindows } from '@basilcourse/scheduler/pressure/service-time-windows';
import * as Effect from 'effect/Effect';

import { createAgentOperatorRoutes } from '../operators/agent-operator-routes.js';
import { announcementCheck } from './announcement-check.js';
import { followLog } from './follow-log.js';
import {
  heartbeatDependencies,
  sendHeartbeatsForever,
  sendHeartbeatsNow,
} from './heartbeats.js';
import type { Node } from './node.js';
import type { NodeCore } from './node-core.js';
import { NodeTasks } from './node-tasks.js';
import { recordLogEnd, recordLogEndForever } from './record-log-end.js';
import { throttleBatchTasks } from './throttle-batch-tasks.js';

const SWEEP_INTERVAL_MILLISECONDS = 500;

const STOP_POLL_INTERVAL_MILLISECONDS = 20;

/** The process that runs on each VM beside its upstreams. */
export class AgentNode implements Node {
  private readonly registry = new UpstreamRegistry();

  private readonly ledger = new RunLedger();

  private readonly agentClaims: AgentClaims;

  private readonly runner: RequestRunner;

  private readonly controlServer: ControlServer;

  private readonly localServer: JsonServer;

  private readonly operatorsServer: JsonServer;

  private readonly tasks: NodeTasks;

  private readonly heartbeats: HeartbeatDependencies;

  private readonly serviceTimes = new ServiceTimeWindows();

  private boundLocalAddress = '';

  public constructor(public readonly core: NodeCore) {
    const { clock, events, instance, settings, state } = core;
    this.agentClaims = new AgentClaims(clock.now());
    this.tasks = new NodeTasks(core.logger);
    this.runner = new RequestRunner({
      registry: this.registry,
      ledger: this.ledger,
      clock,
      events,
      instance,
      teamWeight: team => state.fold.configuration.teams.get(team)?.weight ?? 1,
      observeDuration: (attempt, milliseconds) => {
        this.serviceTimes.observe(attempt, milliseconds);
      },
    });
    this.controlServer = new ControlServer(
      settings.keys,
      agentRoutes({
        runner: this.runner,
        ledger: this.ledger,
        agentClaims: this.agentClaims,
        registry: this.registry,
        clock,
        events,
        instance,
      }),
    );
    this.localServer = new JsonServer({
      'POST /upstreams': ({ body }) => this.handleAnnouncement(body),
    });
    this.operatorsServer = new JsonServer(
      createAgentOperatorRoutes(core, this.registry),
    );
    this.heartbeats = heartbeatDependencies(core, () => this.loads());
  }

  /** Address at which upstreams of the VM announce themselves. */
  public get localAddress(): string {
    return this.boundLocalAddress;
  }

  public async start(): Promise<void> {
    const { core } = this;
    const { settings, own, events, logger } = core;
    const address = await this.controlServer.listen(settings.controlAddress);
    this.boundLocalAddress = await this.localServer.listen(
      settings.localAddress,
    );
    const operatorsAddress = await this.operatorsServer.listen(
      settings.operatorsAddress,
    );
    own.update({ address, operatorsAddress });
    // The end of the log is read before the first announcement, so that it
    // precedes any placement on this VM.
    await Effect.runPromise(recordLogEnd(core, this.agentClaims));
    events.record('process-started', `Agent ${settings.name} at ${address}.`);
    logger.info('Started.', { address, operatorsAddress });
    this.tasks.start(
      'heartbeats',
      sendHeartbeatsForever(core, this.heartbeats),
    );
    this.tasks.start(
      'follow',
      followLog(core, () => false),
    );
    this.tasks.start('sweep', this.sweepForever());
    this.tasks.start('log end', recordLogEndForever(core, this.agentClaims));
    this.tasks.start(
      'pressure',
      throttleBatchTasks(core, this.registry, this.serviceTimes),
    );
  }

  public async stop(): Promise<void> {
    const { events, own, settings, clock } = this.core;
    events.record('process-stopping', 'Draining work in progress.');
    own.update({ state: 'leaving' });
    await Effect.runPromise(sendHeartbeatsNow(this.core, this.heartbeats));
    this.registry.close('the agent is stopping');
    const deadline = clock.now() + settings.shutdownSeconds * 1000;
    while (this.registry.running > 0 && clock.now() < deadline) {
      await new Promise(resolve =>
        setTimeout(resolve, STOP_POLL_INTERVAL_MILLISECONDS),
      );
    }
    // Waits until responses in progress are written, before their connections
    // are closed.
    await new Promise(resolve =>
      setTimeout(resolve, STOP_POLL_INTERVAL_MILLISECONDS),
    );
    events.record('process-stopped', 'No work is in progress.');
    await this.kill();
  }

  public async kill(): Promise<void> {
    await this.tasks.stop();
    await Promise.all([
      this.controlServer.close(),
      this.localServer.close(),
      this.operatorsServer.close(),
    ]);
    this.runner.close();
  }

  private loads(): ReturnType<HeartbeatDependencies['loads']> {
    return this.registry.all.flatMap(({ attempt }) => {
      const load = loadReportOf(this.registry, attempt);
      return load === undefined ? [] : [{ attemptId: attempt, load }];
    });
  }

  private handleAnnouncement(body: unknown): {
    readonly status: number;
    readonly body: unknown;
  } {
    const problem = announcementCheck(body);
    if (problem !== '') {
      return { status: 400, body: { error: problem } };
    }
    const announcement = body as Announcement & { readonly left?: boolean };
    const now = this.core.clock.now();
    if (announcement.left === true) {
      this.registry.remove(announcement.attempt);
      this.announceUpstreams();
      return { status: 200, body: {} };
    }
    if (this.registry.applyAnnouncement(announcement, now)) {
      this.announceUpstreams();
    }
    return { status: 200, body: {} };
  }

  private announceUpstreams(): void {
    const upstreams = this.registry.all
      .filter(({ leaving }) => !leaving)
      .map(({ service, attempt, slots }) => ({ service, attempt, slots }));
    this.core.own.update({ upstreams });
    Effect.runFork(sendHeartbeatsNow(this.core, this.heartbeats));
  }

  private sweepForever(): Effect.Effect<never> {
    const sweep = Effect.sync(() => {
      const { clock, state, members } = this.core;
      const now = clock.now();
      const { limits } = state.fold.configuration;
      const retentionMilliseconds = limits.claimMemorySeconds * 1000;
      this.ledger.sweep(retentionMilliseconds, now);
      this.agentClaims.sweep(retentionMilliseconds, now);
      members.sweep(now);
      if (this.registry.sweep(now)) {
        this.announceUpstreams();
      }
    });
    return sweep.pipe(
      Effect.zipRight(Effect.sleep(SWEEP_INTERVAL_MILLISECONDS)),
      Effect.forever,
    );
  }
}
