import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { decideShares } from '@basilcourse/jobs/interference/decide-shares';
import type { RunningTask } from '@basilcourse/jobs/model/running-task';
import type { TaskTraits } from '@basilcourse/jobs/model/task-traits';

import { InterferenceObserver } from './interference-observer.js';
import { KnownTasks } from './known-tasks.js';
import type { MinionIncarnation } from './minion-incarnation.js';
import { ServingStrain } from './serving-strain.js';
import type { ThrottlerOptions } from './throttler-options.js';

/** Measurements cover 500 ms; shares are decided once per measurement. */
const DECISION_INTERVAL_MILLISECONDS = 400;

const FULL_PERCENT = 100;

/** Smaller changes of a percentage are not sent. */
const MINIMUM_SENT_CHANGE = 5;

/** Smaller changes of a share are not logged. */
const MINIMUM_LOGGED_CHANGE = 0.1;

/** Throttles batch tasks while a serving task beside them exceeds its bound. */
export class Throttler {
  private readonly options: ThrottlerOptions;

  private readonly interference: InterferenceObserver;

  private readonly tasks = new KnownTasks();

  /** Percentage last sent for each run, by task and run. */
  private readonly sent = new Map<string, number>();

  /** Share of full speed at which the tasks of each batch image run. */
  private shares: ReadonlyMap<string, number> = new Map();

  private readonly violationTracker = new ServingStrain();

  private decidedAt = Number.NEGATIVE_INFINITY;

  public constructor(options: ThrottlerOptions) {
    this.options = options;
    this.interference = new InterferenceObserver(
      options.estimates.interference,
    );
  }

  /** Records the traits of a task. */
  public recordTraits(task: string, traits: TaskTraits): void {
    this.tasks.record(task, traits);
  }

  /** Returns whether serving tasks run beside batch tasks. */
  public needsFreshMeasurements(running: readonly RunningTask[]): boolean {
    return (
      running.some(run => this.tasks.isBatch(run)) &&
      running.some(run => this.tasks.targetOf(run) > 0)
    );
  }

  /** Clears the percentages sent to an earlier incarnation. */
  public reset(): void {
    this.sent.clear();
    this.shares = new Map();
    this.interference.reset();
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
      run => this.tasks.isBatch(run) && this.needsSending(run),
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
    if (!this.tasks.isBatch(started)) {
      return;
    }
    if (this.percentageOf(started) < FULL_PERCENT) {
      await this.send(minion, started, fencingToken);
    }
  }

  private decide(running: readonly RunningTask[], now: number): void {
    const listed = this.tasks.servingTasks(
      running,
      this.options.estimates.loads,
      now,
    );
    this.interference.update(listed, this.tasks.busyCores(running));
    const serving = this.violationTracker.withViolationDurations(listed, now);
    const batchDemand = this.tasks.batchDemand(
      running,
      run => (this.sent.get(keyOf(run)) ?? FULL_PERCENT) / FULL_PERCENT,
    );
    const shares = decideShares(
      serving,
      batchDemand,
      this.interference.estimates,
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

  /** Whether the share of a run differs noticeably from the one last sent. */
  private needsSending(run: RunningTask): boolean {
    const sent = this.sent.get(keyOf(run)) ?? FULL_PERCENT;
    const wanted = this.percentageOf(run);
    const isBound = wanted === 0 || wanted === FULL_PERCENT;
    return (
      wanted !== sent &&
      (isBound || Math.abs(wanted - sent) >= MINIMUM_SENT_CHANGE)
    );
  }

  private percentageOf({ task }: RunningTask): number {
    const image = this.tasks.imageOf(task);
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
