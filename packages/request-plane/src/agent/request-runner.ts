import { Agent } from 'node:http';

import type { Clock } from '@basilcourse/foundation/clock/clock';
import type { EventRecorder } from '@basilcourse/foundation/events/event-recorder';
import type { RunRequest } from '@basilcourse/wire/request_plane_pb';
import * as Effect from 'effect/Effect';

import { notRunOutcome, unknownOutcome } from '../outcome/outcomes.js';
import type { RunOutcome } from '../outcome/run-outcome.js';
import { callUpstream } from './call-upstream.js';
import type { LocalUpstream } from './local-upstream.js';
import type { RunLedger } from './run-ledger.js';
import type { UpstreamRegistry } from './upstream-registry.js';

const STEP = 'agent.run';

const SOCKET_IDLE_TIMEOUT_MILLISECONDS = 4000;

/** Dependencies of the request runner. */
interface RunnerDependencies {
  readonly registry: UpstreamRegistry;
  readonly ledger: RunLedger;
  readonly clock: Clock;
  readonly events: EventRecorder;
  /** Instance of this agent. */
  readonly instance: string;
  readonly teamWeight: (team: string) => number;
  /** Records the duration of a request, by attempt. */
  readonly observeDuration: (attempt: string, milliseconds: number) => void;
}

/** Runs the requests sent to one agent at the upstreams on its VM. */
export class RequestRunner {
  private readonly connectionPools = new Map<string, Agent>();

  public constructor(private readonly dependencies: RunnerDependencies) {}

  /**
   * Runs a request once a slot is free.
   *
   * A request identifier is run at most once: a repeated message gets the
   * recorded outcome instead.
   */
  public run(request: RunRequest): Effect.Effect<RunOutcome> {
    return Effect.suspend(() => {
      const { registry, ledger, clock, instance } = this.dependencies;
      const now = clock.now();
      const upstream = registry.find(request.attemptId);
      if (request.agentInstance !== instance || upstream === undefined) {
        const reason = 'the upstream is not here';
        return Effect.succeed(notRunOutcome(STEP, instance, reason));
      }
      if (!ledger.accept(request.requestId, now)) {
        return Effect.succeed(this.answerRepeat(request.requestId));
      }
      const deadline = now + request.remainingMilliseconds;
      return this.runAccepted(request, upstream, deadline);
    });
  }

  /** Closes all connections to the upstreams. */
  public close(): void {
    for (const pool of this.connectionPools.values()) {
      pool.destroy();
    }
  }

  private answerRepeat(requestId: string): RunOutcome {
    const { ledger, instance } = this.dependencies;
    const entry = ledger.find(requestId);
    if (entry?.state === 'fenced') {
      return notRunOutcome(STEP, instance, 'the request was fenced');
    }
    const reason = 'a message of the same request arrived before';
    return entry?.outcome ?? unknownOutcome(STEP, instance, reason);
  }

  private runAccepted(
    request: RunRequest,
    upstream: LocalUpstream,
    deadline: number,
  ): Effect.Effect<RunOutcome> {
    const { ledger, clock } = this.dependencies;
    const keepAnswer = request.claimKey !== '';
    const work = Effect.uninterruptibleMask(restore =>
      restore(this.waitForSlot(request, upstream, deadline)).pipe(
        Effect.flatMap(refusal =>
          refusal === undefined
            ? this.runInSlot(request, upstream, deadline, restore)
            : Effect.succeed(refusal),
        ),
      ),
    );
    return work.pipe(
      Effect.tap(outcome =>
        Effect.sync(() => {
          ledger.end(request.requestId, outcome, keepAnswer, clock.now());
        }),
      ),
      Effect.onInterrupt(() =>
        Effect.sync(() => {
          this.recordInterruption(request.requestId);
        }),
      ),
    );
  }

  private recordInterruption(requestId: string): void {
    const { ledger, clock, instance } = this.dependencies;
    const began = ledger.find(requestId)?.state === 'began';
    const reason = 'the caller left';
    const outcome = began
      ? unknownOutcome(STEP, instance, reason)
      : notRunOutcome(STEP, instance, reason);
    ledger.end(requestId, outcome, false, clock.now());
  }

  private waitForSlot(
    request: RunRequest,
    upstream: LocalUpstream,
    deadline: number,
  ): Effect.Effect<RunOutcome | undefined> {
    const { clock, teamWeight, instance } = this.dependencies;
    const { requestId, team } = request;
    return Effect.async<RunOutcome | undefined>(resume => {
      let granted = false;
      const refuse = (reason: string): void => {
        clearTimeout(timer);
        resume(Effect.succeed(notRunOutcome('agent.queue', instance, reason)));
      };
      const remaining = Math.max(0, deadline - clock.now());
      const timer = setTimeout(() => {
        if (upstream.gate.cancel(requestId)) {
          refuse('the deadline passed in the queue');
        }
      }, remaining);
      const grant = (): void => {
        granted = true;
        clearTimeout(timer);
        resume(Effect.succeed(undefined));
      };
      const weight = teamWeight(team);
      upstream.gate.requestSlot(
        { requestId, team, teamWeight: weight, deadline, grant, refuse },
        clock.now(),
      );
      return Effect.sync(() => {
        clearTimeout(timer);
        upstream.gate.cancel(requestId);
        if (granted) {
          upstream.gate.releaseSlot(clock.now());
        }
      });
    });
  }

  private runInSlot(
    request: RunRequest,
    upstream: LocalUpstream,
    deadline: number,
    restore: <Value>(work: Effect.Effect<Value>) => Effect.Effect<Value>,
  ): Effect.Effect<RunOutcome> {
    const { clock, ledger, observeDuration, events, instance } =
      this.dependencies;
    const startedAt = clock.now();
    const remainingMilliseconds = Math.max(0, Math.floor(deadline - startedAt));
    let sent = false;
    const release = (): void => {
      upstream.gate.releaseSlot(clock.now());
    };
    const call = Effect.suspend(() => {
      if (!ledger.begin(request.requestId, startedAt)) {
        const reason = 'the request was fenced';
        return Effect.succeed(notRunOutcome(STEP, instance, reason));
      }
      const { requestId } = request;
      const text = `${upstream.attempt} began ${request.method} ${request.path}.`;
      events.record('request-began', text, { request: requestId });
      return callUpstream({
        address: upstream.address,
        run: request,
        agent: this.poolFor(upstream),
        remainingMilliseconds,
        onSent: () => {
          sent = true;
        },
        onReleased: release,
      });
    });
    // A request with a claimed key continues when its caller disconnects, as
    // its answer is kept for repeats.
    const upstreamCall = request.claimKey === '' ? restore(call) : call;
    return upstreamCall.pipe(
      Effect.tap(outcome =>
        Effect.sync(() => {
          if (outcome.kind === 'completed') {
            const duration = clock.now() - startedAt;
            upstream.gate.serviceTime.add(duration, clock.now());
            observeDuration(upstream.attempt, duration);
          }
        }),
      ),
      Effect.ensuring(
        Effect.sync(() => {
          if (!sent) {
            release();
          }
        }),
      ),
    );
  }

  private poolFor(upstream: LocalUpstream): Agent {
    const { attempt, connections } = upstream;
    const existing = this.connectionPools.get(attempt);
    if (existing !== undefined) {
      return existing;
    }
    const pool = new Agent({
      keepAlive: true,
      maxSockets: connections,
      timeout: SOCKET_IDLE_TIMEOUT_MILLISECONDS,
    });
    this.connectionPools.set(attempt, pool);
    return pool;
  }
}
