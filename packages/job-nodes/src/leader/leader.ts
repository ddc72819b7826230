import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { addDueOccurrences } from '@basilcourse/jobs/plan/add-due-occurrences';
import { expireMinions } from '@basilcourse/jobs/reconcile/expire-minions';
import { findStuckRuns } from '@basilcourse/jobs/reconcile/find-stuck-runs';
import { LeaseBounds } from '@basilcourse/jobs/reconcile/lease-bounds';
import { runsOfEndedJobs } from '@basilcourse/jobs/reconcile/runs-of-ended-jobs';
import { tasksToMove } from '@basilcourse/jobs/reconcile/tasks-to-move';
import { throttledTasksToMove } from '@basilcourse/jobs/reconcile/throttled-tasks-to-move';
import type { TaskEntry } from '@basilcourse/jobs/state/task-entry';

import type { QueueConfiguration } from '../configuration/queue-configuration.js';
import { pause } from '../time/pause.js';
import { affordsForecasts } from './affords-forecasts.js';
import { AgentStreamHandler } from './agent-stream-handler.js';
import { answerCall } from './answer-call.js';
import type { JobAnswer } from './job-answer.js';
import type { JobCall } from './job-call.js';
import type { LeaderOptions } from './leader-options.js';
import { LeaderState } from './leader-state.js';
import type { LeaderStatistics } from './leader-statistics.js';
import { loadEstimates } from './load-estimates.js';
import { loadTable } from './load-table.js';
import { nameTasks } from './name-tasks.js';
import { StartPlanner } from './start-planner.js';
import { StoreWriter } from './store-writer.js';

const TICK_INTERVAL_MILLISECONDS = 100;

/** Interval at which throttled tasks are looked for. */
const MOVE_INTERVAL_MILLISECONDS = 400;

const LOAD_RETRY_DELAY_MILLISECONDS = 100;

/** Schedules all jobs while this process is the leader. */
export class Leader {
  private readonly options: LeaderOptions;

  private readonly state: LeaderState;

  private readonly writer: StoreWriter;

  private readonly bounds: LeaseBounds;

  /** Handles the streams of agents. */
  public readonly agentStreams: AgentStreamHandler;

  private readonly planner: StartPlanner;

  private loaded = false;

  private closed = false;

  private movedAt = Number.NEGATIVE_INFINITY;

  private tickTimer: NodeJS.Timeout | undefined;

  public constructor(options: LeaderOptions) {
    this.options = options;
    this.state = new LeaderState(
      options.epoch,
      options.storeLimits,
      options.logger,
    );
    this.writer = new StoreWriter({
      store: options.store,
      limits: options.storeLimits,
      epoch: options.epoch,
      time: options.time,
      logger: options.logger,
      collect: () => this.state.collect(options.time.now()),
      onUnstorable: key => {
        this.state.handleUnstorable(key, options.time.now());
      },
      onFenced: options.onFenced,
    });
    const { leaseMilliseconds, minionLimits } = options;
    this.bounds = new LeaseBounds(leaseMilliseconds, minionLimits);
    const context = {
      options,
      state: this.state,
      writer: this.writer,
      bounds: this.bounds,
      isReady: () => this.isReady(),
    };
    this.planner = new StartPlanner(context);
    this.agentStreams = new AgentStreamHandler(context, () => {
      this.planner.planSoon();
    });
  }

  /** Fences earlier leaders, reads the state, and starts scheduling. */
  public async open(): Promise<void> {
    while (!this.isClosed()) {
      try {
        await this.load();
        return;
      } catch (error) {
        this.options.logger.warn('The state could not be read.', {
          reason: messageOf(error),
        });
        await pause(LOAD_RETRY_DELAY_MILLISECONDS);
      }
    }
  }

  /** Stops scheduling, and closes all streams. */
  public close(): void {
    this.closed = true;
    this.planner.close();
    clearInterval(this.tickTimer);
    this.writer.close();
    this.state.sessions.closeAll();
  }

  /** Whether the state is loaded and this process still is the leader. */
  public isReady(): boolean {
    return this.loaded && !this.closed && this.options.isValid();
  }

  /** Epoch of this leader. */
  public get epoch(): number {
    return this.options.epoch;
  }

  /** Answers an entry's call. */
  public async answer(call: JobCall): Promise<JobAnswer> {
    if (!this.isReady()) {
      return { kind: 'not-leading' };
    }
    const answer = await answerCall(call, {
      state: this.state,
      now: this.options.time.now(),
      limits: this.options.storeLimits,
      storeUnresponsive: this.planner.isStoreUnresponsive(),
      afterStored: action => {
        this.writer.afterStored(action);
      },
    });
    this.planner.planSoon();
    return answer;
  }

  /** Applies a newer configuration to the queues and their jobs. */
  public configure(configuration: QueueConfiguration): void {
    this.state.configure(configuration);
    this.planner.planSoon();
  }

  /** Returns statistics for the metrics of the process. */
  public statistics(): LeaderStatistics {
    const { jobs } = this.state.table;
    let waitingJobs = 0;
    for (const job of jobs.values()) {
      waitingJobs += Number(job.status === 'queued');
    }
    return {
      agents: this.state.sessions.count,
      jobs: jobs.size,
      waitingJobs,
      pendingAppendMilliseconds: this.writer.pendingMilliseconds(),
    };
  }

  private async load(): Promise<void> {
    const { store, epoch, time, logger, onFenced } = this.options;
    if (!(await store.open(epoch))) {
      onFenced();
      return;
    }
    const values = await store.readAll();
    const { table, layout, changes } = this.state;
    changes.removeKeys(loadTable(table, layout, values, time.now(), logger));
    loadEstimates(this.state.interference, values, logger);
    this.state.configureJobs();
    this.loaded = true;
    logger.info('The state was read.', {
      epoch,
      jobs: table.jobs.size,
    });
    this.tickTimer = setInterval(() => {
      this.tick();
    }, TICK_INTERVAL_MILLISECONDS);
  }

  private tick(): void {
    if (!this.isReady()) {
      return;
    }
    this.planner.sendUnsent();
    const now = this.options.time.now();
    this.state.interference.forecasting = affordsForecasts(
      this.options.processorCores,
      Math.max(this.state.sessions.count, this.state.table.minions.size),
    );
    const { table } = this.state;
    const { logger } = this.options;
    for (const expired of expireMinions(table, this.bounds, now)) {
      const { incarnation, releasedTasks, silentMilliseconds } = expired;
      logger.warn('The lease of a silent minion is over.', {
        incarnation,
        freed: releasedTasks.length,
        runs: nameTasks(releasedTasks),
        silentMilliseconds: Math.round(silentMilliseconds),
      });
    }
    this.state.sessions.closeUnresponsive(now);
    for (const job of table.jobs.values()) {
      table.dropDoneOccurrences(job);
      addDueOccurrences(job, now, this.state.layout.maximumOpenOccurrences);
    }
    this.stop(findStuckRuns(table, now), 'no progress');
    this.stop(tasksToMove(table, now), 'the minion drains');
    this.moveThrottledTasks(now);
    this.stop(runsOfEndedJobs(table), 'the job is over');
    this.state.dropExpiredJobs(now);
    this.planner.planSoon();
  }

  private moveThrottledTasks(now: number): void {
    const isDue = now - this.movedAt >= MOVE_INTERVAL_MILLISECONDS;
    if (!isDue || !this.state.interference.forecasting) {
      return;
    }
    this.movedAt = now;
    const { table, interference } = this.state;
    const predictor = interference.predictor(now);
    const tasks = throttledTasksToMove(table, predictor, now);
    for (const task of tasks) {
      task.moves += 1;
    }
    this.stop(tasks, 'throttled, and another minion has time');
  }

  private stop(tasks: readonly TaskEntry[], reason: string): void {
    for (const task of tasks) {
      task.stopping = true;
      const stop = { task: task.name, run: task.run };
      this.options.logger.info('A run is stopped.', { ...stop, reason });
      this.state.sessions
        .sessionFor(task)
        ?.send({ kind: 'stops', stops: [stop] });
    }
  }

  private isClosed(): boolean {
    return this.closed;
  }
}
