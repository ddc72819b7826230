import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';
import type { BatchDemand } from '@basilcourse/jobs/interference/batch-demand';
import { decideShares } from '@basilcourse/jobs/interference/decide-shares';
import type { ServingLoad } from '@basilcourse/jobs/interference/serving-load';
import type { RunningTask } from '@basilcourse/jobs/model/running-task';
import type { TaskTraits } from '@basilcourse/jobs/model/task-traits';
import { splitTaskName } from '@basilcourse/jobs/state/split-task-name';

import type { ListedServingTask } from './listed-serving-task.js';
import type { MinionIncarnation } from './minion-incarnation.js';
import { ServingStrain } from './serving-strain.js';
import type { ThrottlerOptions } from './throttler-options.js';

/** Measurements cover 500 ms; shares are decided once per measurement. */
const DECISION_INTERVAL_MILLISECONDS = 450;

/** Tasks with recorded traits, and jobs with a recorded load. */
const MAXIMUM_TRACKED_TASKS = 2000;

const FULL_PERCENT = 100;

const MILLICORES_PER_CORE = 1000;

/** A serving task at this progress handles requests. */
const STARTED_PERCENT = 100;

/** Smaller changes of a share are not logged. */
const MINIMUM_LOGGED_CHANGE = 0.1;

/** Part of the bound assumed as the unloaded tail latency until one is sent. */
const UNLOADED_FRACTION = 0.2;

/** Load of a job that is assumed until the leader sends one. */
const UNKNOWN_LOAD = 0.5;

/** The usage at full speed is estimated from the usage above this share only. */
const MINIMUM_MEASURED_SHARE = 0.3;

/** Throttles batch tasks while a serving task beside them exceeds its bound. */
export class Throttler {
  private readonly options: ThrottlerOptions;

  /** Loads of the jobs with serving tasks on this minion, by job. */
  private readonly loads = new BoundedMap<ServingLoad>(MAXIMUM_TRACKED_TASKS);

  private readonly traits = new BoundedMap<TaskTraits>(MAXIMUM_TRACKED_TASKS);

  /** Percentage last sent for each run, by task and run. */
  private readonly sent = new Map<string, number>();

  /** Share of full speed at which the tasks of each batch image run. */
  private shares: ReadonlyMap<string, number> = new Map();

  private readonly violationTracker = new ServingStrain();

  private decidedAt = Number.NEGATIVE_INFINITY;

  public constructor(options: ThrottlerOptions) {
    this.options = options;
  }

  /** Records the traits of a task. */
  public recordTraits(task: string, traits: TaskTraits): void {
    this.traits.set(task, traits);
  }

  /** Returns whether serving tasks run beside batch tasks. */
  public needsFreshMeasurements(running: readonly RunningTask[]): boolean {
    return (
      running.some(run => this.isBatch(run)) &&
      running.some(run => this.targetOf(run) > 0)
    );
  }

  /** Clears the percentages sent to an earlier incarnation. */
  public reset(): void {
    this.sent.clear();
    this.shares = new Map();
  }

  /** Records the loads of jobs with serving tasks on this minion. */
  public applyLoads(loads: readonly ServingLoad[]): void {
    for (const load of loads) {
      this.loads.set(load.job, load);
    }
  }

  /** Decides the shares after a poll and sends changed ones to the minion. */
  public async apply(
    minion: MinionIncarnation,
    running: readonly RunningTask[],
    fencingToken: number,
    now: number,
  ): Promise<void> {
    this.removeEnded(running);
    if (now - this.decidedAt >= DECISION_INTERVAL_MILLISECONDS) {
      this.decidedAt = now;
      this.decide(running, now);
    }
    const changed = running.filter(
      run =>
        this.isBatch(run) &&
        (this.sent.get(keyOf(run)) ?? FULL_PERCENT) !== this.percentageOf(run),
    );
    await Promise.all(changed.map(run => this.send(minion, run, fencingToken)));
  }

  /** Throttles a task right after its start, before a poll lists it. */
  public async started(
    minion: MinionIncarnation,
    order: { readonly task: string; readonly run: number },
    running: readonly RunningTask[],
    fencingToken: number,
  ): Promise<void> {
    const started = { ...order, checkpoint: '', percent: 0, gauge: 0 };
    if (!this.isBatch(started)) {
      return;
    }
    if (this.percentageOf(started) < FULL_PERCENT) {
      await this.send(minion, started, fencingToken);
    }
  }

  private decide(running: readonly RunningTask[], now: number): void {
    const serving = this.servingTasks(running);
    const batchDemand = this.batchDemand(running);
    const shares = decideShares(
      this.violationTracker.withViolationDurations(serving, now),
      batchDemand,
      this.options.interference,
    );
    for (const [image, share] of shares) {
      const before = this.shares.get(image) ?? 1;
      if (Math.abs(share - before) > MINIMUM_LOGGED_CHANGE) {
        this.options.logger.info('A filling image is paced.', {
          image,
          before,
          share,
          tails: serving.map(({ tailLatency }) => tailLatency).join(' '),
        });
      }
    }
    this.shares = shares;
  }

  private servingTasks(
    running: readonly RunningTask[],
  ): readonly ListedServingTask[] {
    return running.flatMap(run => {
      const target = this.targetOf(run);
      const job = splitTaskName(run.task)?.jobIdentifier ?? '';
      const reported = this.loads.get(job);
      if (target === 0 || run.percent < STARTED_PERCENT) {
        return [];
      }
      const image = this.traits.get(run.task)?.image ?? '';
      const unloadedTailLatency = reported?.floor ?? target * UNLOADED_FRACTION;
      const load = reported?.load ?? UNKNOWN_LOAD;
      return [
        {
          task: run.task,
          image,
          target,
          tailLatency: run.gauge,
          unloadedTailLatency,
          load,
        },
      ];
    });
  }

  /** Processor time that the tasks of each batch image use at full speed. */
  private batchDemand(
    running: readonly RunningTask[],
  ): ReadonlyMap<string, BatchDemand> {
    const demand = new Map<string, BatchDemand>();
    for (const run of running) {
      const traits = this.traits.get(run.task);
      if (traits?.filling) {
        const share =
          (this.sent.get(keyOf(run)) ?? FULL_PERCENT) / FULL_PERCENT;
        const measured = share > MINIMUM_MEASURED_SHARE ? run.gauge / share : 0;
        const millicores = Math.max(measured, traits.processorMillicores);
        const before = demand.get(traits.image)?.cores ?? 0;
        demand.set(traits.image, {
          cores: before + millicores / MILLICORES_PER_CORE,
          coresPerTask: traits.processorMillicores / MILLICORES_PER_CORE,
        });
      }
    }
    return demand;
  }

  private isBatch({ task }: RunningTask): boolean {
    return this.traits.get(task)?.filling ?? false;
  }

  private targetOf({ task }: RunningTask): number {
    return this.traits.get(task)?.tailTargetMilliseconds ?? 0;
  }

  private percentageOf({ task }: RunningTask): number {
    const image = this.traits.get(task)?.image ?? '';
    return Math.round((this.shares.get(image) ?? 1) * FULL_PERCENT);
  }

  private async send(
    minion: MinionIncarnation,
    running: RunningTask,
    token: number,
  ): Promise<void> {
    const { task, run } = running;
    const percentage = this.percentageOf(running);
    try {
      const order = { task, run };
      await this.options.client.throttle(minion, order, percentage, token);
      this.sent.set(keyOf(running), percentage);
    } catch (error) {
      this.options.logger.warn('A pace was not taken.', {
        task,
        run,
        percentage,
        reason: messageOf(error),
      });
    }
  }

  private removeEnded(running: readonly RunningTask[]): void {
    const listed = new Set(running.map(keyOf));
    for (const key of this.sent.keys()) {
      if (!listed.has(key)) {
        this.sent.delete(key);
      }
    }
  }
}

function keyOf({
  task,
  run,
}: {
  readonly task: string;
  readonly run: number;
}): string {
  return `${task}/${run}`;
}
