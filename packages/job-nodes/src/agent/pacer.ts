import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';
import type { BatchDemand } from '@basilcourse/jobs/interference/batch-demand';
import { decideShares } from '@basilcourse/jobs/interference/decide-shares';
import type { ServingLoad } from '@basilcourse/jobs/interference/serving-load';
import type { RunningTask } from '@basilcourse/jobs/model/running-task';
import type { TaskTraits } from '@basilcourse/jobs/model/task-traits';
import { splitTaskName } from '@basilcourse/jobs/state/split-task-name';

import type { ListedServing } from './listed-serving.js';
import type { MinionLife } from './minion-life.js';
import type { PacerOptions } from './pacer-options.js';
import { ServingStrain } from './serving-strain.js';

/** Figures cover half a second; a decision is taken once for each. */
const DECIDE_EVERY_MILLISECONDS = 450;

/** Tasks, and jobs, of which something is remembered. */
const MOST_TASKS = 2000;

const WHOLE = 100;

const MILLICORES_PER_CORE = 1000;

/** Runs this far have left their start behind. */
const AT_WORK_PERCENT = 100;

/** Changes of a share that are written to the log. */
const WORTH_TELLING = 0.1;

/** Of its bound, for a job of which the leader has not told the floor. */
const UNKNOWN_FLOOR_PART = 0.2;

const UNKNOWN_LOAD = 0.5;

/** A task that works at less shows nothing of its full speed. */
const LEAST_SEEN_SHARE = 0.3;

/** Slows filling tasks down while a neighbour that serves suffers. */
export class Pacer {
  private readonly options: PacerOptions;

  /** Loads of the jobs that serve here, by job. */
  private readonly loads = new BoundedMap<ServingLoad>(MOST_TASKS);

  private readonly traits = new BoundedMap<TaskTraits>(MOST_TASKS);

  /** Percentage that each run was last told; by task and run. */
  private readonly told = new Map<string, number>();

  /** Share at which the tasks of each filling image work. */
  private shares: ReadonlyMap<string, number> = new Map();

  private readonly strain = new ServingStrain();

  private decidedAt = Number.NEGATIVE_INFINITY;

  public constructor(options: PacerOptions) {
    this.options = options;
  }

  /** Learns what a task is. */
  public learn(task: string, traits: TaskTraits): void {
    this.traits.set(task, traits);
  }

  /** Some task serves beside one that fills, so figures must be fresh. */
  public needsFreshFigures(running: readonly RunningTask[]): boolean {
    return (
      running.some(run => this.isFilling(run)) &&
      running.some(run => this.targetOf(run) > 0)
    );
  }

  /** Forgets what an earlier life of the minion was told. */
  public reset(): void {
    this.told.clear();
    this.shares = new Map();
  }

  /** Takes over the loads of jobs that serve here. */
  public takeLoads(loads: readonly ServingLoad[]): void {
    for (const load of loads) {
      this.loads.set(load.job, load);
    }
  }

  /** Decides by fresh lists, and tells the minion. */
  public async apply(
    life: MinionLife,
    running: readonly RunningTask[],
    fencingToken: number,
    now: number,
  ): Promise<void> {
    this.forgetEnded(running);
    if (now - this.decidedAt >= DECIDE_EVERY_MILLISECONDS) {
      this.decidedAt = now;
      this.decide(running, now);
    }
    const changed = running.filter(
      run =>
        this.isFilling(run) &&
        (this.told.get(keyOf(run)) ?? WHOLE) !== this.percentageOf(run),
    );
    await Promise.all(changed.map(run => this.tell(life, run, fencingToken)));
  }

  /** Paces a task that has just been started, before it is listed. */
  public async started(
    life: MinionLife,
    order: { readonly task: string; readonly run: number },
    running: readonly RunningTask[],
    fencingToken: number,
  ): Promise<void> {
    const fresh = { ...order, checkpoint: '', percent: 0, gauge: 0 };
    if (!this.isFilling(fresh)) {
      return;
    }
    if (this.percentageOf(fresh) < WHOLE) {
      await this.tell(life, fresh, fencingToken);
    }
  }

  private decide(running: readonly RunningTask[], now: number): void {
    const serving = this.servingTasks(running);
    const filling = this.fillingDemand(running);
    const shares = decideShares(
      this.strain.add(serving, now),
      filling,
      this.options.harms,
    );
    for (const [image, share] of shares) {
      const before = this.shares.get(image) ?? 1;
      if (Math.abs(share - before) > WORTH_TELLING) {
        this.options.logger.info('A filling image is paced.', {
          image,
          before,
          share,
          tails: serving.map(({ tailLatency: tail }) => tail).join(' '),
        });
      }
    }
    this.shares = shares;
  }

  private servingTasks(
    running: readonly RunningTask[],
  ): readonly ListedServing[] {
    return running.flatMap(run => {
      const target = this.targetOf(run);
      const job = splitTaskName(run.task)?.jobIdentifier ?? '';
      const known = this.loads.get(job);
      if (target === 0 || run.percent < AT_WORK_PERCENT) {
        return [];
      }
      const image = this.traits.get(run.task)?.image ?? '';
      const floor = known?.floor ?? target * UNKNOWN_FLOOR_PART;
      const load = known?.load ?? UNKNOWN_LOAD;
      return [
        {
          task: run.task,
          image,
          target,
          tailLatency: run.gauge,
          unloadedTailLatency: floor,
          load,
        },
      ];
    });
  }

  /** What the tasks of each filling image would use at full speed. */
  private fillingDemand(
    running: readonly RunningTask[],
  ): ReadonlyMap<string, BatchDemand> {
    const demand = new Map<string, BatchDemand>();
    for (const run of running) {
      const traits = this.traits.get(run.task);
      if (traits?.filling) {
        const share = (this.told.get(keyOf(run)) ?? WHOLE) / WHOLE;
        const seen = share > LEAST_SEEN_SHARE ? run.gauge / share : 0;
        const millicores = Math.max(seen, traits.processorMillicores);
        const before = demand.get(traits.image)?.cores ?? 0;
        demand.set(traits.image, {
          cores: before + millicores / MILLICORES_PER_CORE,
          coresPerTask: traits.processorMillicores / MILLICORES_PER_CORE,
        });
      }
    }
    return demand;
  }

  private isFilling({ task }: RunningTask): boolean {
    return this.traits.get(task)?.filling ?? false;
  }

  private targetOf({ task }: RunningTask): number {
    return this.traits.get(task)?.tailTargetMilliseconds ?? 0;
  }

  private percentageOf({ task }: RunningTask): number {
    const image = this.traits.get(task)?.image ?? '';
    return Math.round((this.shares.get(image) ?? 1) * WHOLE);
  }

  private async tell(
    life: MinionLife,
    running: RunningTask,
    fencingToken: number,
  ): Promise<void> {
    const { task, run } = running;
    const percentage = this.percentageOf(running);
    try {
      const order = { task, run };
      await this.options.client.pace(life, order, percentage, fencingToken);
      this.told.set(keyOf(running), percentage);
    } catch (error) {
      this.options.logger.warn('A pace was not taken.', {
        task,
        run,
        percentage,
        reason: messageOf(error),
      });
    }
  }

  private forgetEnded(running: readonly RunningTask[]): void {
    const alive = new Set(running.map(keyOf));
    for (const key of this.told.keys()) {
      if (!alive.has(key)) {
        this.told.delete(key);
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
