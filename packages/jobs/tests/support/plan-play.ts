import { InterferenceTable } from '../../src/interference/interference-table.js';
import { LoadMonitor } from '../../src/interference/load-monitor.js';
import { FirstCalls } from '../../src/plan/first-calls.js';
import { InterferencePredictor } from '../../src/plan/interference-predictor.js';
import { acceptsStarts, planStarts } from '../../src/plan/plan-starts.js';
import { startableSteps } from '../../src/plan/startable-steps.js';
import type { JobEntry } from '../../src/state/job-entry.js';
import { JobTable } from '../../src/state/job-table.js';
import type { MinionEntry } from '../../src/state/minion-entry.js';
import type { TaskEntry } from '../../src/state/task-entry.js';
import { addJob } from './add-job.js';
import { addMinion } from './add-minion.js';
import type { PlayedFigures } from './played-figures.js';
import type { PlayedLoad } from './played-load.js';
import type { PlayedRun } from './played-run.js';

/** Time between rounds of planning. */
export const ROUND_MILLISECONDS = 100;

/**
 * Plays rounds of planning over a load, with runs that end once their work is done.
 * Batch tasks on a minion share the processor time that its other tasks leave.
 */
export class PlanPlay {
  private readonly load: PlayedLoad;

  private readonly table = new JobTable();

  private readonly minions: readonly MinionEntry[];

  private readonly firstCalls = new FirstCalls();

  private readonly firstStarts = new Map<string, number>();

  private readonly work = new Map<string, number>();

  /** Unix milliseconds since which a job has stood still with room. */
  private readonly stillSince = new Map<string, number>();

  private runs: readonly PlayedRun[] = [];

  private longestStandstill = 0;

  public constructor(load: PlayedLoad) {
    this.load = load;
    this.minions = load.minions.map((processorMillicores, number) =>
      addMinion(this.table, `m${number}`, {
        capacity: {
          processorMillicores,
          memoryMegabytes: 4 * processorMillicores,
          accelerators: 0,
        },
      }),
    );
  }

  /** Plays the load; returns what was measured. */
  public play(): PlayedFigures {
    const { jobs, milliseconds } = this.load;
    for (let now = 1; now <= milliseconds; now += ROUND_MILLISECONDS) {
      this.endRuns();
      this.accept(now);
      this.backOff(now);
      this.start(now);
      this.judge(now);
    }
    for (const { name, at } of jobs) {
      if (!this.firstStarts.has(name)) {
        this.firstStarts.set(name, milliseconds - at);
      }
    }
    const { firstStarts, longestStandstill } = this;
    return { firstStarts, longestStandstill };
  }

  private endRuns(): void {
    const after = this.runs.map(run => ({
      ...run,
      left: run.left - ROUND_MILLISECONDS * shareOf(run),
    }));
    for (const { left, task, minion } of after) {
      if (left <= 0) {
        minion.removeRun(task.name, task.run);
        task.end('done');
      }
    }
    this.runs = after.filter(({ left }) => left > 0);
    for (const job of this.table.jobs.values()) {
      job.endIfFinished(0);
    }
  }

  private accept(now: number): void {
    for (const { name, at, steps, workMilliseconds } of this.load.jobs) {
      if (at <= now && at > now - ROUND_MILLISECONDS) {
        addJob(this.table, name, steps, {}, at);
        this.work.set(name, workMilliseconds);
      }
    }
  }

  private backOff(now: number): void {
    for (const [at, number] of this.load.backoffs) {
      const minion = this.minions[number % this.minions.length];
      if (minion && at <= now && at > now - ROUND_MILLISECONDS) {
        minion.backoffUntil = now + 400;
      }
    }
  }

  private start(now: number): void {
    const predictor = new InterferencePredictor(
      new InterferenceTable(),
      new LoadMonitor(),
      now,
    );
    const starts = planStarts(this.table, predictor, now, this.firstCalls);
    for (const { task, minion } of starts) {
      task.assign(minion.incarnation, task.run + 1, 1, now);
      minion.addRun(task, task.run);
      const job = task.jobIdentifier;
      const left = this.work.get(job) ?? 0;
      this.runs = [...this.runs, { task, minion, left }];
      if (!this.firstStarts.has(job)) {
        const accepted = this.table.jobs.get(job)?.acceptedAt ?? 0;
        this.firstStarts.set(job, now - accepted);
      }
    }
  }

  /** Measures, by the capacity that the users' rule counts, who stands still. */
  private judge(now: number): void {
    for (const job of this.table.jobs.values()) {
      const name = job.specification.identifier;
      if (this.standsStillWithRoom(job, now)) {
        const since = this.stillSince.get(name) ?? now;
        this.stillSince.set(name, since);
        if (now - since > this.longestStandstill) {
          this.longestStandstill = now - since;
        }
      } else {
        this.stillSince.delete(name);
      }
    }
  }

  private standsStillWithRoom(job: JobEntry, now: number): boolean {
    if (job.ended !== undefined || job.hasAssignedTasks()) {
      return false;
    }
    const minions = this.minions.filter(minion => acceptsStarts(minion, now));
    return (
      isUnderHalfInUse(minions) &&
      startableSteps(job, now).some(([task]) => {
        const rooms = minions.map(minion =>
          task === undefined ? 0 : roomsFor(task, minion),
        );
        return rooms.reduce((sum, room) => sum + room, 0) >= 2;
      })
    );
  }
}

function isUnderHalfInUse(minions: readonly MinionEntry[]): boolean {
  let millicores = 0;
  let megabytes = 0;
  for (const { description, usage } of minions) {
    const { capacity } = description ?? {};
    millicores += (capacity?.processorMillicores ?? 0) / 2;
    millicores -= usage.reservedMillicores;
    megabytes += (capacity?.memoryMegabytes ?? 0) / 2;
    megabytes -= usage.memoryMegabytes;
  }
  return millicores > 0 && megabytes > 0;
}

/** Returns the share of its speed at which a run works. */
function shareOf({ task, minion }: PlayedRun): number {
  if (!task.specification.filling) {
    return 1;
  }
  const { capacity } = minion.description ?? {};
  const { reservedMillicores, expectedMillicores } = minion.usage;
  const idle = (capacity?.processorMillicores ?? 0) - reservedMillicores;
  return Math.min(
    1,
    idle / Math.max(1, expectedMillicores - reservedMillicores),
  );
}

/** Returns how many tasks like this one the unreserved room of a minion holds. */
function roomsFor({ demand }: TaskEntry, minion: MinionEntry): number {
  const { capacity } = minion.description ?? {};
  const { reservedMillicores, memoryMegabytes } = minion.usage;
  const millicores = (capacity?.processorMillicores ?? 0) - reservedMillicores;
  const megabytes = (capacity?.memoryMegabytes ?? 0) - memoryMegabytes;
  return Math.floor(
    Math.min(
      millicores / Math.max(1, demand.processorMillicores),
      megabytes / Math.max(1, demand.memoryMegabytes),
    ),
  );
}
