import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';
import type { BatchCores } from '@basilcourse/jobs/interference/batch-cores';
import type { BatchDemand } from '@basilcourse/jobs/interference/batch-demand';
import type { RunningTask } from '@basilcourse/jobs/model/running-task';
import type { TaskTraits } from '@basilcourse/jobs/model/task-traits';
import { splitTaskName } from '@basilcourse/jobs/state/split-task-name';

import type { ListedServingTask } from './listed-serving-task.js';
import type { ServingLoads } from './serving-loads.js';

/** Tasks whose traits are kept. */
const MAXIMUM_TRACKED_TASKS = 2000;

const MILLICORES_PER_CORE = 1000;

/** A serving task at this progress handles requests. */
const STARTED_PERCENT = 100;

/** Part of the bound assumed as the unloaded tail latency until one is sent. */
const UNLOADED_FRACTION = 0.2;

/** Load of a job that is assumed until the leader sends one. */
const UNKNOWN_LOAD = 0.5;

/** The usage at full speed is estimated from the usage above this share only. */
const MINIMUM_MEASURED_SHARE = 0.3;

/** Traits of the tasks on one minion, and what its lists say of them. */
export class KnownTasks {
  private readonly traits = new BoundedMap<TaskTraits>(MAXIMUM_TRACKED_TASKS);

  /** Records the traits of a task. */
  public record(task: string, traits: TaskTraits): void {
    this.traits.set(task, traits);
  }

  /** Whether a run is that of a batch task. */
  public isBatch({ task }: RunningTask): boolean {
    return this.traits.get(task)?.filling ?? false;
  }

  /** Returns the bound of a task's tail latency; 0 if it does not serve. */
  public targetOf({ task }: RunningTask): number {
    return this.traits.get(task)?.tailTargetMilliseconds ?? 0;
  }

  /** Returns the image of a task; empty while it is not known. */
  public imageOf(task: string): string {
    return this.traits.get(task)?.image ?? '';
  }

  /** Returns the serving tasks that handle requests. */
  public servingTasks(
    running: readonly RunningTask[],
    loads: ServingLoads,
    now: number,
  ): readonly ListedServingTask[] {
    return running.flatMap(run => {
      const target = this.targetOf(run);
      if (target === 0 || run.percent < STARTED_PERCENT) {
        return [];
      }
      const { task, gauge: tailLatency } = run;
      const job = splitTaskName(task)?.jobIdentifier ?? '';
      const image = this.traits.get(task)?.image ?? '';
      const expected = loads.expected(job, now) ?? {
        unloadedTailLatency: target * UNLOADED_FRACTION,
        load: UNKNOWN_LOAD,
        measuredLoad: UNKNOWN_LOAD,
        forecast: false,
      };
      return [{ task, image, target, tailLatency, ...expected }];
    });
  }

  /** Returns the busy cores of each batch image during the newest measurement. */
  public busyCores(running: readonly RunningTask[]): BatchCores {
    const cores = new Map<string, number>();
    for (const run of running) {
      const traits = this.traits.get(run.task);
      if (traits?.filling) {
        const before = cores.get(traits.image) ?? 0;
        cores.set(traits.image, before + run.gauge / MILLICORES_PER_CORE);
      }
    }
    return cores;
  }

  /**
   * Returns the processor time that the tasks of each batch image use at full
   * speed.
   *
   * @param shareOf - Share of full speed at which a run works, 0 to 1.
   */
  public batchDemand(
    running: readonly RunningTask[],
    shareOf: (run: RunningTask) => number,
  ): ReadonlyMap<string, BatchDemand> {
    const demand = new Map<string, BatchDemand>();
    for (const run of running) {
      const traits = this.traits.get(run.task);
      if (traits?.filling) {
        const share = shareOf(run);
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
}
