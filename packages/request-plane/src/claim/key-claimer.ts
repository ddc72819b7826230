import type { Clock } from '@basilcourse/foundation/clock/clock';
import type { EventRecorder } from '@basilcourse/foundation/events/event-recorder';
import type { RandomSource } from '@basilcourse/foundation/random/random-source';
import { jitteredBackoff } from '@basilcourse/foundation/util/jittered-backoff';
import type { SharedState } from '@basilcourse/shared-state/follow/shared-state';
import type { ClaimResponse } from '@basilcourse/wire/request_plane_pb';
import * as Effect from 'effect/Effect';

import type { CallerRequest } from '../entry/caller-request.js';
import type { PeerClients } from '../entry/peer-clients.js';
import type { MemberTable } from '../membership/member-table.js';
import { notRunOutcome, unknownOutcome } from '../outcome/outcomes.js';
import type { ClaimResult } from './claim-result.js';
import type { EntryClaims } from './entry-claims.js';
import { findKeyOwner } from './find-key-owner.js';
import type { KeyOwner } from './key-owner.js';
import { recallFromEntries } from './recall-from-entries.js';
import { recoverAnswer } from './recover-answer.js';

const STEP = 'entry.claim';

const CLAIM_TIMEOUT_MILLISECONDS = 500;

const BACKOFF_BOUNDS = { initialMilliseconds: 20, maximumMilliseconds: 250 };

interface ClaimerDependencies {
  readonly state: SharedState;
  readonly members: MemberTable;
  readonly entryClaims: EntryClaims;
  readonly clients: PeerClients;
  readonly clock: Clock;
  readonly events: EventRecorder;
  readonly random: RandomSource;
  /** Instance of this entry. */
  readonly instance: string;
}

function settledClaim(outcome: ReturnType<typeof notRunOutcome>): ClaimResult {
  return { kind: 'settled', outcome };
}

/**
 * Result of a failed claim; the request was not sent to any agent to be run.
 */
function refusedClaim(reason: string): ClaimResult {
  return settledClaim(notRunOutcome(STEP, 'keeper', reason));
}

/**
 * Returns whether an agent remembers all claims on the keys that it owns: its
 * memory started before the log made it the owner, or before `windowStart`.
 */
function remembersAllClaims(owner: KeyOwner, answer: ClaimResponse): boolean {
  const { memoryStartOffset: offset } = answer;
  const startedBefore = offset !== undefined && offset <= owner.sinceOffset;
  const start = Number(answer.memoryStartMilliseconds);
  return startedBefore || start <= owner.windowStart;
}

/**
 * Claims idempotency keys, so that of the requests under one key at most one
 * runs, through whichever entries they arrive.
 *
 * Each key is owned by one agent. If the owner may lack earlier claims, because
 * it changed or restarted within the time that claims are remembered, every
 * other entry is asked as well, and each promises not to claim the key for
 * another request.
 */
export class KeyClaimer {
  public constructor(private readonly dependencies: ClaimerDependencies) {}

  /**
   * Claims a key for a request; retries until the deadline while the claim
   * fails, for example because the key's owner is unreachable.
   */
  public claim(
    key: string,
    request: CallerRequest,
    tries = 0,
  ): Effect.Effect<ClaimResult> {
    return this.claimOnce(key, request).pipe(
      Effect.flatMap(result => {
        if (result.kind === 'first' || result.outcome.kind !== 'not-run') {
          return Effect.succeed(result);
        }
        const { random, clock } = this.dependencies;
        const delay = jitteredBackoff(tries, BACKOFF_BOUNDS, random);
        // The claim is released after the last try only: a release that is
        // delayed could free the key after a later try has claimed it.
        return clock.now() + delay >= request.deadline
          ? this.release(key, request).pipe(Effect.as(result))
          : Effect.sleep(delay).pipe(
              Effect.zipRight(this.claim(key, request, tries + 1)),
            );
      }),
    );
  }

  /** Releases the claim of a request that was not run. */
  public release(key: string, request: CallerRequest): Effect.Effect<void> {
    return Effect.suspend(() => {
      const { entryClaims, clients } = this.dependencies;
      entryClaims.release(key, request.requestId);
      const owner = findKeyOwner(this.dependencies, request.service, key);
      return owner === undefined
        ? Effect.void
        : clients
            .agentAt(owner.address)
            .release(key, request.requestId)
            .pipe(Effect.timeout(CLAIM_TIMEOUT_MILLISECONDS), Effect.ignore);
    });
  }

  private claimOnce(
    key: string,
    request: CallerRequest,
  ): Effect.Effect<ClaimResult> {
    return Effect.suspend(() => {
      const { entryClaims, clock, state, instance } = this.dependencies;
      // Other entries ask this entry for its claims only once its
      // `entry-joined` record is in the log, and an older state may name a
      // former owner.
      if (!state.fold.configuration.entries.has(instance)) {
        const reason = 'the joining of this entry is not in force yet';
        return Effect.succeed(
          settledClaim(notRunOutcome(STEP, 'local', reason)),
        );
      }
      const holder = entryClaims.claim(key, request.requestId, clock.now());
      if (holder !== request.requestId) {
        return this.recoverEarlierAnswer(key, holder, request);
      }
      const owner = findKeyOwner(this.dependencies, request.service, key);
      if (owner === undefined) {
        const reason = 'the agent that keeps the key is out of reach';
        return Effect.succeed(
          settledClaim(notRunOutcome(STEP, 'local', reason)),
        );
      }
      return this.claimAt(owner, key, request);
    });
  }

  private claimAt(
    owner: KeyOwner,
    key: string,
    request: CallerRequest,
  ): Effect.Effect<ClaimResult> {
    const { clients } = this.dependencies;
    const client = clients.agentAt(owner.address);
    return client.claim(key, request.requestId, owner.attempt).pipe(
      Effect.timeoutFail({
        duration: CLAIM_TIMEOUT_MILLISECONDS,
        onTimeout: () => new Error('the claim timed out'),
      }),
      Effect.flatMap(answer => {
        const { outcome } = answer;
        if (outcome.case !== 'holderRequestId') {
          const reason = outcome.value ?? 'malformed answer';
          return Effect.succeed(refusedClaim(reason));
        }
        if (outcome.value !== request.requestId) {
          return this.recoverEarlierAnswer(key, outcome.value, request);
        }
        return this.confirmFirst(owner, answer, key, request);
      }),
      Effect.catchAll(({ message }) => Effect.succeed(refusedClaim(message))),
    );
  }

  private confirmFirst(
    owner: KeyOwner,
    answer: ClaimResponse,
    key: string,
    request: CallerRequest,
  ): Effect.Effect<ClaimResult> {
    const { events, state } = this.dependencies;
    const first: ClaimResult = { kind: 'first' };
    const remembersAll = remembersAllClaims(owner, answer);
    if (remembersAll && !owner.changedWithinWindow) {
      return Effect.succeed(first);
    }
    // Entries that may have claimed the key before the owner's memory started
    // have their `entry-joined` records below this offset. Until the log is
    // read up to it, some of these entries may be unrecorded here.
    const requiredOffset = answer.memoryStartOffset;
    if (
      !remembersAll &&
      (requiredOffset === undefined || state.fold.next < requiredOffset)
    ) {
      const reason = 'the log is not read far enough to ask every entry';
      return Effect.succeed(refusedClaim(reason));
    }
    return recallFromEntries(this.dependencies, key, request.requestId).pipe(
      Effect.flatMap(recall => {
        if (recall.holder !== '') {
          return this.recoverEarlierAnswer(key, recall.holder, request);
        }
        if (recall.missing.length > 0) {
          const reason = `entries that may know the key do not answer: ${recall.missing.join(', ')}`;
          return Effect.succeed(
            settledClaim(unknownOutcome(STEP, 'entries', reason)),
          );
        }
        events.record('claim-granted', 'The key is claimed.', {
          request: request.requestId,
        });
        return Effect.succeed(first);
      }),
    );
  }

  private recoverEarlierAnswer(
    key: string,
    holder: string,
    request: CallerRequest,
  ): Effect.Effect<ClaimResult> {
    this.dependencies.entryClaims.replaceHolder(
      key,
      holder,
      this.dependencies.clock.now(),
    );
    this.dependencies.events.record(
      'claim-repeated',
      `A repeat of ${holder}.`,
      {
        request: request.requestId,
      },
    );
    return recoverAnswer(this.dependencies, holder, request).pipe(
      Effect.map(settledClaim),
    );
  }
}
