import type { RandomSource } from '@basilcourse/foundation/random/random-source';
import { jitteredBackoff } from '@basilcourse/foundation/util/jittered-backoff';
import * as Effect from 'effect/Effect';

import { claimKeyOf } from '../claim/claim-key.js';
import type { KeyClaimer } from '../claim/key-claimer.js';
import { notRunOutcome } from '../outcome/outcomes.js';
import type { RunOutcome } from '../outcome/run-outcome.js';
import type { RetryBudget } from '../retry/retry-budget.js';
import type { ByteBudget } from '../routing/byte-budget.js';
import type { OutlierDetector } from '../routing/outlier-detector.js';
import type { UnreachableAgents } from '../routing/unreachable-agents.js';
import type { UpstreamCandidate } from '../routing/upstream-candidate.js';
import type { UpstreamRouter } from '../routing/upstream-router.js';
import type { CallerRequest } from './caller-request.js';
import type { HandOverDependencies } from './hand-over.js';
import { CONNECT_STEP, handOver } from './hand-over.js';
import { MAXIMUM_TRIES, tryIdOf } from './request-tries.js';

const BACKOFF_BOUNDS = { initialMilliseconds: 2, maximumMilliseconds: 50 };

const FIRST_SERVER_ERROR = 500;

/** Dependencies of the request dispatcher. */
interface DispatcherDependencies extends HandOverDependencies {
  readonly router: UpstreamRouter;
  readonly outliers: OutlierDetector;
  readonly unreachableAgents: UnreachableAgents;
  readonly retryBudget: RetryBudget;
  readonly claimer: KeyClaimer;
  readonly crossRegionBytes: ByteBudget;
  readonly random: RandomSource;
}

function isServerError(outcome: RunOutcome): boolean {
  return outcome.kind === 'completed' && outcome.status >= FIRST_SERVER_ERROR;
}

function isConnectFailure(outcome: RunOutcome): boolean {
  return outcome.kind === 'not-run' && outcome.step === CONNECT_STEP;
}

/** Sends callers' requests to upstreams, with retries where they are safe. */
export class RequestDispatcher {
  public constructor(private readonly dependencies: DispatcherDependencies) {}

  /**
   * Dispatches one request; returns the outcome to be reported to its caller.
   */
  public dispatch(request: CallerRequest): Effect.Effect<RunOutcome> {
    const { service, team, idempotencyKey, unrepeatable } = request;
    const key = unrepeatable ? claimKeyOf(service, team, idempotencyKey) : '';
    if (key === '') {
      return this.tryUpstreams(request, '');
    }
    return this.dependencies.claimer
      .claim(key, request)
      .pipe(
        Effect.flatMap(claim =>
          claim.kind === 'first'
            ? this.tryUpstreams(request, key).pipe(
                Effect.tap(outcome =>
                  this.releaseIfNotRun(key, request, outcome),
                ),
              )
            : Effect.succeed(claim.outcome),
        ),
      );
  }

  private releaseIfNotRun(
    key: string,
    request: CallerRequest,
    outcome: RunOutcome,
  ): Effect.Effect<void> {
    return outcome.kind === 'not-run'
      ? this.dependencies.claimer.release(key, request)
      : Effect.void;
  }

  private tryUpstreams(
    request: CallerRequest,
    claimKey: string,
  ): Effect.Effect<RunOutcome> {
    const { router, clock } = this.dependencies;
    const tried = new Set<string>();
    const tryNext = (
      tries: number,
      avoidedZone: string,
      last: RunOutcome | undefined,
    ): Effect.Effect<RunOutcome> => {
      const now = clock.now();
      const { deadline } = request;
      if (now >= deadline) {
        const reason = 'the deadline passed before the request was sent';
        return Effect.succeed(
          last ?? notRunOutcome('entry.route', 'local', reason),
        );
      }
      const upstream = router.choose(
        request.service,
        tried,
        avoidedZone,
        deadline,
      );
      if (upstream === undefined) {
        const reason = `no upstream of ${request.service} is in reach`;
        return Effect.succeed(
          last ?? notRunOutcome('entry.route', 'local', reason),
        );
      }
      tried.add(upstream.attempt);
      return this.tryUpstream(request, claimKey, upstream, tries).pipe(
        Effect.flatMap(outcome =>
          this.mayRetry(request, outcome, tries)
            ? this.backOff(request, tries, outcome).pipe(
                Effect.zipRight(
                  Effect.suspend(() =>
                    tryNext(tries + 1, upstream.availabilityZone, outcome),
                  ),
                ),
              )
            : Effect.succeed(outcome),
        ),
      );
    };
    return Effect.suspend(() => tryNext(0, '', undefined));
  }

  private tryUpstream(
    request: CallerRequest,
    claimKey: string,
    upstream: UpstreamCandidate,
    tries: number,
  ): Effect.Effect<RunOutcome> {
    const { clock, events } = this.dependencies;
    const tryId = tryIdOf(request.requestId, tries);
    return Effect.suspend(() => {
      const text = `Handed to ${upstream.attempt} at ${upstream.agentId}.`;
      events.record('request-handed-over', text, {
        request: request.requestId,
      });
      const handOverTry = { tryId, request, claimKey, upstream };
      return handOver(this.dependencies, handOverTry, clock.now());
    }).pipe(
      Effect.tap(outcome =>
        Effect.sync(() => {
          this.recordOutcome(request, upstream, outcome);
        }),
      ),
    );
  }

  private recordOutcome(
    request: CallerRequest,
    upstream: UpstreamCandidate,
    outcome: RunOutcome,
  ): void {
    const { outliers, unreachableAgents, retryBudget, router } =
      this.dependencies;
    const { crossRegionBytes, clock } = this.dependencies;
    const now = clock.now();
    if (router.isInOtherRegion(upstream)) {
      const answerBytes =
        outcome.kind === 'completed' ? outcome.body.length : 0;
      crossRegionBytes.spend(request.body.length + answerBytes, now);
    }
    if (isConnectFailure(outcome)) {
      unreachableAgents.recordConnectFailure(upstream.agentInstance, now);
      return;
    }
    unreachableAgents.recordAnswer(upstream.agentInstance);
    if (outcome.kind === 'completed' && !isServerError(outcome)) {
      outliers.recordSuccess(upstream.attempt);
      retryBudget.recordSuccess();
      return;
    }
    const isOverload =
      outcome.kind === 'not-run' && outcome.step === 'agent.queue';
    if (!isOverload) {
      outliers.recordFailure(upstream.attempt, now);
    }
  }

  private mayRetry(
    request: CallerRequest,
    outcome: RunOutcome,
    tries: number,
  ): boolean {
    const safe =
      outcome.kind === 'not-run' ||
      (!request.unrepeatable &&
        (outcome.kind === 'unknown' || isServerError(outcome)));
    if (!safe || tries + 1 >= MAXIMUM_TRIES) {
      return false;
    }
    // A try that was never sent adds no load to an upstream, so its retry does
    // not count against the budget.
    return isConnectFailure(outcome) || this.dependencies.retryBudget.take();
  }

  private backOff(
    request: CallerRequest,
    tries: number,
    outcome: RunOutcome,
  ): Effect.Effect<void> {
    const { random, events } = this.dependencies;
    const reason =
      outcome.kind === 'completed' ? 'a server error' : outcome.reason;
    events.record('request-retried', `Try ${tries + 2} after ${reason}.`, {
      request: request.requestId,
    });
    return Effect.sleep(jitteredBackoff(tries, BACKOFF_BOUNDS, random));
  }
}
