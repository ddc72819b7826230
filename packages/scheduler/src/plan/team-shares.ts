import type { Resources } from '@basilcourse/shared-state/records/resources';
import { add } from '@basilcourse/shared-state/resources/add';
import { fits } from '@basilcourse/shared-state/resources/fits';
import { NO_RESOURCES } from '@basilcourse/shared-state/resources/no-resources';
import type { Attempt } from '@basilcourse/shared-state/scheduling/attempt';
import {
  jobOf,
  serviceOf,
} from '@basilcourse/shared-state/scheduling/task-names';

import type { PlanInput } from './plan-input.js';
import type { WaitingJob } from './waiting-job.js';

function dominantShare(used: Resources, total: Resources): number {
  return Math.max(
    used.processors / Math.max(1, total.processors),
    used.memoryGigabytes / Math.max(1, total.memoryGigabytes),
    used.accelerators / Math.max(1, total.accelerators),
  );
}

/**
 * Resource usage of each team, compared with its quota and its fair share.
 *
 * Weighted dominant resource fairness: Ghodsi et al., "Dominant Resource
 * Fairness", NSDI 2011. Teams above their quota borrow unused resources.
 */
export class TeamShares {
  private readonly usage = new Map<string, Resources>();

  private readonly total: Resources = NO_RESOURCES;

  public constructor(private readonly input: PlanInput) {
    for (const worker of input.scheduling.workers.values()) {
      this.total = add(this.total, worker.description.resources);
    }
    for (const attempt of input.scheduling.attempts.values()) {
      this.addUsage(this.teamOf(attempt.task), attempt.resources);
    }
  }

  public addUsage(team: string, resources: Resources): void {
    this.usage.set(team, add(this.usedBy(team), resources));
  }

  /** Returns whether a team stays within its quota with one more task. */
  public isWithinQuota(team: string, resources: Resources): boolean {
    const quota = this.input.configuration.teams.get(team)?.quota;
    return (
      quota !== undefined && fits(add(this.usedBy(team), resources), quota)
    );
  }

  /** Returns whether the team of an attempt uses more than its quota. */
  public isBorrowing(attempt: Attempt): boolean {
    const team = this.teamOf(attempt.task);
    const quota = this.input.configuration.teams.get(team)?.quota;
    return quota !== undefined && !fits(this.usedBy(team), quota);
  }

  /** Sorts urgent jobs first, then by quota, then by fair share. */
  public inPlacementOrder(
    waiting: readonly WaitingJob[],
  ): readonly WaitingJob[] {
    const ranked = waiting.map((waitingJob, index) => ({
      waitingJob,
      index,
      urgent: waitingJob.job.urgent ? 0 : 1,
      borrows: this.isWithinQuota(waitingJob.job.team, waitingJob.job.resources)
        ? 0
        : 1,
      share: this.shareOf(waitingJob.job.team),
    }));
    ranked.sort(
      (left, right) =>
        left.urgent - right.urgent ||
        left.borrows - right.borrows ||
        left.share - right.share ||
        left.index - right.index,
    );
    return ranked.map(({ waitingJob }) => waitingJob);
  }

  private shareOf(team: string): number {
    const weight = this.input.configuration.teams.get(team)?.weight ?? 1;
    return dominantShare(this.usedBy(team), this.total) / weight;
  }

  private usedBy(team: string): Resources {
    return this.usage.get(team) ?? NO_RESOURCES;
  }

  private teamOf(task: string): string {
    const { services, jobs } = this.input.configuration;
    return (
      services.get(serviceOf(task))?.team ?? jobs.get(jobOf(task))?.team ?? ''
    );
  }
}
