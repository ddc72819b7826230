import type { Decision } from '@basilcourse/shared-state/records/decision';
import type { Attempt } from '@basilcourse/shared-state/scheduling/attempt';

import type { Candidate } from '../placement/candidate.js';
import { CapacityTracker } from '../placement/capacity-tracker.js';
import type { Choice } from '../placement/choose-worker.js';
import { chooseWorker } from '../placement/choose-worker.js';
import { isWithinBudget } from '../placement/interference-budget.js';
import type { PlacementRequest } from '../placement/placement-request.js';
import type { ScoringContext } from '../placement/scorer.js';
import { scorers } from '../placement/scorers.js';
import type { PlanInput } from './plan-input.js';

/** Number of decisions at which a pass stops placing tasks. */
const MAXIMUM_DECISIONS = 500;

/** Collects the decisions of one plan pass for a cell. */
export class PlanPass {
  private capacityTracker: CapacityTracker | undefined;

  public readonly scoring: ScoringContext;

  private readonly decisionsMade: Decision[] = [];

  private readonly evicted = new Set<string>();

  public constructor(
    public readonly input: PlanInput,
    public readonly now: number,
  ) {
    const { configuration, estimator } = input;
    const services = [...configuration.services.values()];
    this.scoring = {
      interference: estimator.interference,
      latencyWeight: configuration.limits.latencyWeight,
      serviceKinds: new Set(services.map(service => service.taskKind)),
    };
  }

  /** Available resources of the workers; computed on first use. */
  public get capacity(): CapacityTracker {
    const { configuration, scheduling, cell } = this.input;
    this.capacityTracker ??= new CapacityTracker(
      configuration,
      scheduling,
      cell,
    );
    return this.capacityTracker;
  }

  public get decisions(): readonly Decision[] {
    return this.decisionsMade;
  }

  public get isFull(): boolean {
    return this.decisionsMade.length >= MAXIMUM_DECISIONS;
  }

  public decide(decision: Decision): void {
    this.decisionsMade.push(decision);
  }

  /** Chooses the best worker for a request; undefined if none fits. */
  public choose(request: PlacementRequest): Choice | undefined {
    const candidates = this.candidatesWithinBudget(request);
    const scorer = scorers[this.input.scorer];
    return chooseWorker(request, candidates, scorer, this.scoring);
  }

  /** Candidates on which the task stays within the interference budget. */
  public candidatesWithinBudget(
    request: PlacementRequest,
  ): readonly Candidate[] {
    const all = this.candidatesFor(request);
    const isExempt = request.role === 'service' || request.urgent;
    // The baseline scorers ignore interference.
    if (isExempt || this.input.scorer !== 'least-harm') {
      return all;
    }
    return all.filter(({ neighbours }) =>
      isWithinBudget(this.scoring, neighbours, request.taskKind),
    );
  }

  public candidatesFor(request: PlacementRequest): readonly Candidate[] {
    return this.capacity.candidatesFor(request.task);
  }

  /** Decides the next attempt of a task on a worker. */
  public place(request: PlacementRequest, choice: Choice): void {
    const progress = this.input.scheduling.tasks.get(request.task);
    this.capacity.reserve(choice.worker, request.task, request.resources);
    this.decide({
      type: 'place',
      task: request.task,
      attempt: (progress?.attempts ?? 0) + 1,
      worker: choice.worker,
      resources: request.resources,
      reason: `score ${choice.score.toFixed(3)}, ${choice.fitting} of ${choice.considered} workers had room`,
    });
  }

  /** Decides to evict an attempt, unless its eviction is already decided. */
  public evict(attempt: Attempt, reason: string): void {
    if (attempt.state === 'evicting' || this.evicted.has(attempt.id)) {
      return;
    }
    this.evicted.add(attempt.id);
    this.capacity.addPendingRelease(attempt);
    this.decide({ type: 'evict', attemptId: attempt.id, reason });
  }

  /** Returns whether the eviction of an attempt is in progress or decided. */
  public isEvicting(attempt: Attempt): boolean {
    return attempt.state === 'evicting' || this.evicted.has(attempt.id);
  }
}
