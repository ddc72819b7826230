import type { Clock } from '@basilcourse/foundation/clock/clock';
import type { RandomSource } from '@basilcourse/foundation/random/random-source';

import type { Member } from '../membership/member.js';
import type { MemberTable } from '../membership/member-table.js';
import type { ByteBudget } from './byte-budget.js';
import type { LoadTable } from './load-table.js';
import type { OutlierDetector } from './outlier-detector.js';
import type { RoutingPolicyName } from './routing-policies.js';
import {
  expectedCompletionMilliseconds,
  routingPolicies,
} from './routing-policies.js';
import type { UnreachableAgents } from './unreachable-agents.js';
import type { UpstreamCandidate } from './upstream-candidate.js';

/** Time that a round trip to another region adds to a request. */
const CROSS_REGION_ROUND_TRIP_MILLISECONDS = 60;

/** Dependencies and settings of the router. */
interface RouterDependencies {
  readonly members: MemberTable;
  readonly loads: LoadTable;
  readonly outliers: OutlierDetector;
  readonly unreachableAgents: UnreachableAgents;
  readonly crossRegionBytes: ByteBudget;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly region: string;
  readonly policy: RoutingPolicyName;
}

function withoutTried(
  candidates: readonly UpstreamCandidate[],
  tried: ReadonlySet<string>,
): readonly UpstreamCandidate[] {
  return candidates.filter(({ attempt }) => !tried.has(attempt));
}

/**
 * Time constant of the decay of an unchanged service time: its weight falls by
 * a factor of e in this time.
 */
const ESTIMATE_DECAY_MILLISECONDS = 5000;

/**
 * Replaces measured service times by estimates for routing.
 *
 * An upstream without a measurement gets the median of the others. An older
 * measurement is moved towards the median, so that an upstream that was slow is
 * tried again, yet is not expected to be faster than the others.
 */
function withEstimatedServiceTimes(
  candidates: readonly UpstreamCandidate[],
  ageOf: (attempt: string) => number,
): readonly UpstreamCandidate[] {
  const measured = candidates
    .map(({ serviceMilliseconds }) => serviceMilliseconds)
    .filter(milliseconds => milliseconds > 0);
  const sorted = [...measured].sort((left, right) => left - right);
  const median = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  return candidates.map(candidate => {
    const { attempt, serviceMilliseconds: lastMeasured } = candidate;
    const weight =
      lastMeasured > 0
        ? Math.exp(-ageOf(attempt) / ESTIMATE_DECAY_MILLISECONDS)
        : 0;
    const serviceMilliseconds = median + weight * (lastMeasured - median);
    return { ...candidate, serviceMilliseconds };
  });
}

/** Chooses the upstream that a request is sent to. */
export class UpstreamRouter {
  private turn = 0;

  public constructor(private readonly dependencies: RouterDependencies) {}

  /**
   * Chooses an upstream of a service; undefined if there is none.
   *
   * Agents whose heartbeats arrive are preferred to suspect ones, reachable
   * agents to unreachable ones, this region to others, and other availability
   * zones to the one where the previous try failed.
   *
   * @param tried - Attempts that this request has already been sent to.
   * @param avoidedZone - Availability zone of the previous try; empty for none.
   */
  public choose(
    service: string,
    tried: ReadonlySet<string>,
    avoidedZone: string,
    deadline: number,
  ): UpstreamCandidate | undefined {
    const { clock, outliers, unreachableAgents, random, policy } =
      this.dependencies;
    const now = clock.now();
    const untried = withoutTried(this.candidates(service), tried);
    const healthy = untried.filter(({ suspect }) => !suspect);
    const preferred = healthy.length > 0 ? healthy : untried;
    const reachable = unreachableAgents.reachable(preferred, now);
    const notEjected = outliers.withoutEjected(reachable, now);
    const nearby = this.preferOwnRegion(notEjected, deadline, now);
    const inOtherZones = nearby.filter(
      ({ availabilityZone }) => availabilityZone !== avoidedZone,
    );
    this.turn += 1;
    const pool = inOtherZones.length > 0 ? inOtherZones : nearby;
    return routingPolicies[policy](pool, random, this.turn);
  }

  /** Upstreams of a service on agents that are neither leaving nor dead. */
  public candidates(service: string): readonly UpstreamCandidate[] {
    const candidates = this.dependencies.members
      .ofRole('agent')
      .filter(({ member }) => member.state !== 'leaving')
      .flatMap(({ member }) => this.candidatesAt(member, service));
    const { loads, clock } = this.dependencies;
    const now = clock.now();
    return withEstimatedServiceTimes(candidates, attempt =>
      loads.serviceTimeAge(attempt, now),
    );
  }

  /** Returns whether an upstream is in another region than this entry. */
  public isInOtherRegion(candidate: UpstreamCandidate): boolean {
    return candidate.region !== this.dependencies.region;
  }

  private candidatesAt(
    member: Member,
    service: string,
  ): readonly UpstreamCandidate[] {
    const { loads } = this.dependencies;
    return member.upstreams
      .filter(upstream => upstream.service === service)
      .map(({ attempt, slots }) => ({
        agentId: member.id,
        agentAddress: member.address,
        agentInstance: member.instance,
        attempt,
        region: member.region,
        availabilityZone: member.availabilityZone,
        slots,
        inFlight: loads.inFlightAt(attempt),
        othersInFlight: loads.othersInFlightAt(attempt),
        serviceMilliseconds: loads.reportOf(attempt).serviceMilliseconds,
        suspect: member.state === 'suspect',
      }));
  }

  /**
   * Returns the candidates of this region, or those of other regions that are
   * expected to meet the deadline when no local one is. Other regions are used
   * only while the budget for bytes between regions is not exhausted.
   */
  private preferOwnRegion(
    candidates: readonly UpstreamCandidate[],
    deadline: number,
    now: number,
  ): readonly UpstreamCandidate[] {
    const local = candidates.filter(
      candidate => !this.isInOtherRegion(candidate),
    );
    const remote = candidates.filter(candidate =>
      this.isInOtherRegion(candidate),
    );
    if (
      remote.length === 0 ||
      !this.dependencies.crossRegionBytes.hasBytesLeft(now)
    ) {
      return local;
    }
    const remaining = deadline - now;
    const localMeetsDeadline = local.some(
      candidate => expectedCompletionMilliseconds(candidate) < remaining,
    );
    if (localMeetsDeadline) {
      return local;
    }
    const remoteMeetingDeadline = remote.filter(
      candidate =>
        expectedCompletionMilliseconds(candidate) +
          CROSS_REGION_ROUND_TRIP_MILLISECONDS <
        remaining,
    );
    return remoteMeetingDeadline.length > 0 ? remoteMeetingDeadline : local;
  }
}
