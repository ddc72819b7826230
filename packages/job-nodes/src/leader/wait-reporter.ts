import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import { canWait } from '@basilcourse/jobs/plan/can-wait';
import { CandidateMinion } from '@basilcourse/jobs/plan/candidate-minion';
import { conditionsOfStep } from '@basilcourse/jobs/plan/conditions-of-step';
import type { WaitExplanation } from '@basilcourse/jobs/plan/explain-wait';
import { explainWait } from '@basilcourse/jobs/plan/explain-wait';
import { findLongWaits } from '@basilcourse/jobs/plan/find-long-waits';
import { fullServices } from '@basilcourse/jobs/plan/full-services';
import type { InterferencePredictor } from '@basilcourse/jobs/plan/interference-predictor';
import type { LongWait } from '@basilcourse/jobs/plan/long-wait';
import { MinionChooser } from '@basilcourse/jobs/plan/minion-chooser';
import { patience } from '@basilcourse/jobs/plan/patience';
import { acceptsStarts } from '@basilcourse/jobs/plan/plan-starts';
import { standsStill } from '@basilcourse/jobs/plan/stands-still';
import { startableSteps } from '@basilcourse/jobs/plan/startable-steps';
import { urgencyOf } from '@basilcourse/jobs/plan/urgency';
import type { JobTable } from '@basilcourse/jobs/state/job-table';

import type { LeaderState } from './leader-state.js';

/** Waits are told once they have lasted for this long. */
const MINIMUM_WAIT_MILLISECONDS = 2000;

const REPORT_INTERVAL_MILLISECONDS = 1000;

/** Time after which a wait that goes on is told again. */
const REPEAT_INTERVAL_MILLISECONDS = 4000;

/** Lines of one report; those told longest ago, or never, come first. */
const MAXIMUM_LINES = 8;

/** Logs since when ready tasks have waited, and what keeps them off each minion. */
export class WaitReporter {
  private readonly logger: PartLogger;

  private reportedAt = Number.NEGATIVE_INFINITY;

  /** Longest wait at the last report; 0 if none was long. */
  public longestMilliseconds = 0;

  /** Time of the last line by step and cause. */
  private toldAt = new Map<string, number>();

  public constructor(logger: PartLogger) {
    this.logger = logger;
  }

  /** Writes a report if one is due. */
  public reportIfDue(
    { table, interference }: Pick<LeaderState, 'table' | 'interference'>,
    now: number,
  ): void {
    if (now - this.reportedAt < REPORT_INTERVAL_MILLISECONDS) {
      return;
    }
    this.reportedAt = now;
    const waits = findLongWaits(table, MINIMUM_WAIT_MILLISECONDS, now);
    this.longestMilliseconds = now - (waits[0]?.since ?? now);
    this.forgetAllBut(waits);
    const due = waits
      .filter(wait => now - this.toldAtOf(wait) >= REPEAT_INTERVAL_MILLISECONDS)
      .sort((first, second) => this.toldAtOf(first) - this.toldAtOf(second))
      .slice(0, MAXIMUM_LINES);
    if (due.length === 0) {
      return;
    }
    const predictor = interference.predictor(now);
    for (const wait of due) {
      this.toldAt.set(keyOf(wait), now);
      this.tell(wait, explain(wait, table, predictor, now), now);
    }
  }

  private toldAtOf(wait: LongWait): number {
    return this.toldAt.get(keyOf(wait)) ?? Number.NEGATIVE_INFINITY;
  }

  private forgetAllBut(waits: readonly LongWait[]): void {
    this.toldAt = new Map(
      waits.flatMap(wait => {
        const key = keyOf(wait);
        const at = this.toldAt.get(key);
        return at === undefined ? [] : [[key, at]];
      }),
    );
  }

  private tell(
    { task, cause, since, count }: LongWait,
    explanation: WaitExplanation,
    now: number,
  ): void {
    const { minions, ...most } = explanation;
    const { specification } = task;
    this.logger.info('A ready task waits.', {
      task: task.name,
      run: task.run,
      cause,
      waitedMilliseconds: Math.round(now - since),
      tasks: count,
      minions: [...minions]
        .map(([obstacle, number]) => `${obstacle} ${number}`)
        .join(', '),
      needsMillicores: specification.processorMillicores,
      needsMegabytes: specification.memoryMegabytes,
      filling: specification.filling,
      ...most,
    });
  }
}

function keyOf({ task, cause }: LongWait): string {
  return `${task.stepKey} ${cause}`;
}

function explain(
  wait: LongWait,
  table: JobTable,
  predictor: InterferencePredictor,
  now: number,
): WaitExplanation {
  const { job, task, count } = wait;
  const mayOvercommit = isPassedOver(wait, table, now);
  const steps = mayOvercommit ? [[task]] : startableSteps(job, now);
  const mayWait = canWait(steps, urgencyOf(job, now), now);
  const mode = { mayWait, mayOvercommit };
  const conditions = conditionsOfStep(job, count, predictor, mode);
  return explainWait(wait, table, new MinionChooser([], conditions), now);
}

function isPassedOver(
  { job, task, since }: LongWait,
  table: JobTable,
  now: number,
): boolean {
  const candidates = [...table.minions.values()]
    .filter(minion => acceptsStarts(minion, now))
    .map(minion => new CandidateMinion(minion));
  const isFull =
    fullServices(candidates).has(job.queue.service) &&
    !task.specification.longRunning;
  return standsStill(table, task) && now - since >= patience(isFull);
}
