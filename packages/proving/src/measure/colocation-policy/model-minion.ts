import type { RandomSource } from '@basilcourse/foundation/random/random-source';
import { loadAt } from '@basilcourse/jobs/interference/load-swing';
import type { RunEnd } from '@basilcourse/jobs/model/run-end';
import type { RunningTask } from '@basilcourse/jobs/model/running-task';
import type { TaskEntry } from '@basilcourse/jobs/state/task-entry';

import type { ColocationLoad } from './colocation-load.js';
import { ModelRun } from './model-run.js';

/** Tail latency of a serving task without load, in milliseconds. */
const UNLOADED_MILLISECONDS = 25;

const CORES = 32;

const MILLICORES_PER_CORE = 1000;

/** Above this part of its time, a task's queue grows. */
const FULL_LOAD = 0.98;

/** Share by which measured tail latencies scatter. */
const NOISE = 0.04;

/**
 * A minion whose serving tasks queue as single servers do, and are slowed down by
 * the batch tasks beside them.
 */
export class ModelMinion {
  /** Milliseconds that serving tasks were over their bounds due to batch tasks. */
  public violatedMilliseconds = 0;

  private readonly runs = new Map<string, ModelRun>();

  private readonly load: ColocationLoad;

  private readonly random: RandomSource;

  private readonly ends: RunEnd[] = [];

  private endNumber = 0;

  public constructor(load: ColocationLoad, random: RandomSource) {
    this.load = load;
    this.random = random;
  }

  /** Starts a run, from its checkpoint if it has one. */
  public start(task: TaskEntry): void {
    this.runs.set(task.name, new ModelRun(task));
  }

  /** Stops a run, and saves its work. */
  public stop(name: string): void {
    const run = this.runs.get(name);
    if (run !== undefined) {
      this.end(run, 'stopped');
    }
  }

  /** Sets the share of full speed of a run. */
  public throttle(name: string, share: number): void {
    const run = this.runs.get(name);
    if (run !== undefined) {
      run.share = share;
    }
  }

  /** Lets time pass. */
  public advance(milliseconds: number, now: number): void {
    const batch = [...this.runs.values()].filter(isBatch);
    const cores = batch.map(run => run.share * coresOf(run));
    const busy = cores.reduce((sum, amount) => sum + amount, 0);
    const speed = Math.min(1, this.idleCores(now) / Math.max(1, busy));
    batch.forEach((run, position) => {
      run.measured = (cores[position] ?? 0) * speed;
    });
    for (const run of this.runs.values()) {
      if (!isBatch(run)) {
        this.serve(run, batch, milliseconds, now);
      }
    }
    for (const run of batch) {
      run.worked += milliseconds * run.share * speed;
      if (run.worked >= run.task.specification.estimatedMilliseconds) {
        this.end(run, 'done');
      }
    }
  }

  /** Returns the runs as a minion lists them. */
  public list(): readonly RunningTask[] {
    return [...this.runs.values()].map(run => ({
      task: run.task.name,
      run: run.run,
      checkpoint: isBatch(run) ? String(Math.floor(run.worked)) : '',
      percent: isBatch(run)
        ? Math.floor(
            (100 * run.worked) / run.task.specification.estimatedMilliseconds,
          )
        : 100,
      gauge: Math.round(
        isBatch(run)
          ? run.measured * MILLICORES_PER_CORE
          : run.measured * (1 + NOISE * (this.random.next() - 0.5)),
      ),
    }));
  }

  /** Returns the ends since the last call. */
  public takeEnds(): readonly RunEnd[] {
    return this.ends.splice(0);
  }

  private idleCores(now: number): number {
    let idle = CORES;
    for (const run of this.runs.values()) {
      idle -= isBatch(run) ? 0 : coresOf(run) * this.loadOf(run, now);
    }
    return Math.max(0, idle);
  }

  private serve(
    run: ModelRun,
    batch: readonly ModelRun[],
    milliseconds: number,
    now: number,
  ): void {
    const { image, tailTargetMilliseconds } = run.task.specification;
    let slowdown = 1;
    for (const other of batch) {
      const perCore = this.load.slowdownPerCore(
        image,
        other.task.specification.image,
        now,
      );
      slowdown += perCore * other.measured;
    }
    const busy = this.loadOf(run, now) * slowdown;
    run.backlog = Math.max(0, run.backlog + milliseconds * (busy - 1));
    run.measured =
      (UNLOADED_MILLISECONDS * slowdown) / (1 - Math.min(FULL_LOAD, busy)) +
      run.backlog;
    if (run.measured > tailTargetMilliseconds) {
      this.violatedMilliseconds += milliseconds;
    }
  }

  private loadOf({ task }: ModelRun, now: number): number {
    const swing = this.load.swingOf(task.jobIdentifier);
    return swing === undefined ? 0 : loadAt(swing, now);
  }

  private end(run: ModelRun, reason: 'done' | 'stopped'): void {
    this.runs.delete(run.task.name);
    this.endNumber += 1;
    this.ends.push({
      number: this.endNumber,
      task: run.task.name,
      run: run.run,
      reason,
      checkpoint: String(Math.floor(run.worked)),
    });
  }
}

function isBatch({ task }: ModelRun): boolean {
  return task.specification.filling;
}

function coresOf({ task }: ModelRun): number {
  return task.specification.processorMillicores / MILLICORES_PER_CORE;
}
