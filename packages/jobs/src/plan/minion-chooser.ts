import type { TaskEntry } from '../state/task-entry.js';
import type { CandidateMinion } from './candidate-minion.js';
import type { ChosenMinion } from './chosen-minion.js';
import { countEndangeredBounds } from './count-endangered-bounds.js';
import { findTaskObstacle } from './find-task-obstacle.js';
import type { Obstacle } from './obstacle.js';
import { scoreMinion } from './score-minion.js';
import type { StepConditions } from './step-conditions.js';

/** Weight of an endangered bound; the weight of a minion's idle share is 1. */
const ENDANGERED_BOUND_WEIGHT = 3;

/** Endangered bounds beyond this number do not lower the score of a minion. */
const MAXIMUM_SCORED_BOUNDS = 4;

interface RankedMinion extends ChosenMinion {
  readonly score: number;
}

/**
 * Chooses minions for the tasks of one step, which are equal: of the minions
 * with enough free capacity the one that scores best for the kind of task,
 * prefers the given rack and keeps batch tasks away from serving tasks that they
 * are estimated to slow down. A minion is judged again only after a task was
 * placed on it, so that a step costs one look at each minion and one at each
 * start. Intended for many equal minions that are partly occupied.
 */
export class MinionChooser {
  private readonly conditions: StepConditions;

  private readonly candidates: readonly CandidateMinion[];

  /** Suitable minions for the rack below. */
  private ranked: RankedMinion[] | undefined;

  private rack = '';

  public constructor(
    candidates: readonly CandidateMinion[],
    conditions: StepConditions,
  ) {
    this.candidates = candidates;
    this.conditions = conditions;
  }

  /**
   * Returns the best minion for a task of the step, and counts the task there.
   *
   * @returns `undefined` if no minion is suitable now.
   */
  public place(
    task: TaskEntry,
    preferredRack: string,
  ): ChosenMinion | undefined {
    if (this.ranked === undefined || this.rack !== preferredRack) {
      this.rack = preferredRack;
      this.ranked = this.candidates.flatMap(candidate =>
        this.rank(task, candidate),
      );
    }
    const position = positionOfBest(this.ranked);
    const best = this.ranked[position];
    if (best !== undefined) {
      best.candidate.place(task);
      this.ranked.splice(position, 1, ...this.rank(task, best.candidate));
    }
    return best;
  }

  /** Returns why a task cannot start on a minion; undefined if it can. */
  public obstacleTo(
    task: TaskEntry,
    candidate: CandidateMinion,
  ): Obstacle | undefined {
    const { predictor } = this.conditions;
    const obstacle = findTaskObstacle(task, this.conditions, candidate);
    if (obstacle !== undefined) {
      return obstacle;
    }
    const endangered = countEndangeredBounds(task, candidate, predictor);
    return this.endangersTooMany(task, endangered)
      ? 'endangered bounds'
      : undefined;
  }

  private endangersTooMany(task: TaskEntry, endangered: number): boolean {
    const { mayWait, maximumEndangeredBounds } = this.conditions;
    const canWait = mayWait && task.specification.filling;
    return canWait && endangered > maximumEndangeredBounds;
  }

  /** Returns the candidate with its score; nothing if it is not suitable. */
  private rank(
    task: TaskEntry,
    candidate: CandidateMinion,
  ): readonly RankedMinion[] {
    const { predictor } = this.conditions;
    if (findTaskObstacle(task, this.conditions, candidate) !== undefined) {
      return [];
    }
    const endangeredBounds = countEndangeredBounds(task, candidate, predictor);
    if (this.endangersTooMany(task, endangeredBounds)) {
      return [];
    }
    const score =
      scoreMinion(task, candidate, this.rack, this.conditions.taskCount) -
      ENDANGERED_BOUND_WEIGHT *
        Math.min(MAXIMUM_SCORED_BOUNDS, endangeredBounds);
    return [{ candidate, endangeredBounds, score }];
  }
}

/** Returns the position of the highest score, the first one among equals. */
function positionOfBest(ranked: readonly RankedMinion[]): number {
  let best = -1;
  let bestScore = Number.NEGATIVE_INFINITY;
  ranked.forEach(({ score }, position) => {
    if (score > bestScore) {
      best = position;
      bestScore = score;
    }
  });
  return best;
}
