import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { addDueOccurrences } from '@basilcourse/jobs/plan/add-due-occurrences';
import { expireMinions } from '@basilcourse/jobs/reconcile/expire-minions';
import { findStuckRuns } from '@basilcourse/jobs/reconcile/find-stuck-runs';
import { tasksToMove } from '@basilcourse/jobs/reconcile/tasks-to-move';
import type { TaskEntry } from '@basilcourse/jobs/state/task-entry';

import type { QueueConfiguration } from '../configuration/queue-configuration.js';
import { pause } from '../time/pause.js';
import { AgentDesk } from './agent-desk.js';
import { answerCall } from './answer-call.js';
import type { JobAnswer } from './job-answer.js';
import type { JobCall } from './job-call.js';
import type { LeaderFigures } from './leader-figures.js';
import type { LeaderOptions } from './leader-options.js';
import { LeaderState } from './leader-state.js';
import { loadTable } from './load-table.js';
import { StartRounds } from './start-rounds.js';
import { StoreWriter } from './store-writer.js';

const TICK_MILLISECONDS = 100;

const LOAD_RETRY_MILLISECONDS = 100;

/** Decides about all jobs while this process leads. */
export class Leader {
  private readonly options: LeaderOptions;

  private readonly state: LeaderState;

  private readonly writer: StoreWriter;

  /** Serves the streams of agents. */
  public readonly agents: AgentDesk;

  private readonly rounds: StartRounds;

  private loaded = false;

  private closed = false;

  private tickTimer: NodeJS.Timeout | undefined;

  public constructor(options: LeaderOptions) {
    this.options = options;
    this.state = new LeaderState(options.epoch);
    this.writer = new StoreWriter({
      store: options.store,
      epoch: options.epoch,
      time: options.time,
      logger: options.logger,
      collect: () => this.state.collect(),
      onFenced: options.onFenced,
    });
    const context = {
      options,
      state: this.state,
      writer: this.writer,
      isReady: () => this.isReady(),
    };
    this.rounds = new StartRounds(context);
    this.agents = new AgentDesk(context, () => {
      this.stopEndedJobs();
      this.rounds.planSoon();
    });
  }

  /** Shuts out earlier leaders, reads the state, and starts deciding. */
  public async open(): Promise<void> {
    while (!this.isClosed()) {
      try {
        await this.load();
        return;
      } catch (error) {
        this.options.logger.warn('The state could not be read.', {
          reason: messageOf(error),
        });
        await pause(LOAD_RETRY_MILLISECONDS);
      }
    }
  }

  /** Stops deciding, and ends all streams. */
  public close(): void {
    this.closed = true;
    this.rounds.close();
    clearInterval(this.tickTimer);
    this.writer.close();
    this.state.sessions.closeAll();
  }

  /** This process may decide, and knows the state. */
  public isReady(): boolean {
    return this.loaded && !this.closed && this.options.isValid();
  }

  /** Epoch in which this leader decides. */
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
      blocked: this.rounds.isBlocked(),
      afterStored: action => {
        this.writer.afterStored(action);
      },
    });
    this.rounds.planSoon();
    return answer;
  }

  /** Takes in a newer configuration: jobs follow the settings of their queue. */
  public configure(configuration: QueueConfiguration): void {
    this.state.configure(configuration);
    this.rounds.planSoon();
  }

  /** Returns what this leader believes, for its metrics. */
  public figures(): LeaderFigures {
    const { jobs } = this.state.table;
    let waitingJobs = 0;
    for (const job of jobs.values()) {
      waitingJobs += Number(job.status === 'queued');
    }
    return {
      agents: this.state.sessions.count,
      jobs: jobs.size,
      waitingJobs,
      owedMilliseconds: this.writer.blockedMilliseconds(),
    };
  }

  private async load(): Promise<void> {
    const { store, epoch, time, logger, onFenced } = this.options;
    if (!(await store.open(epoch))) {
      onFenced();
      return;
    }
    const values = await store.readAll();
    loadTable(this.state.table, values, time.now(), logger);
    this.state.configureJobs();
    this.loaded = true;
    logger.info('The state was read.', {
      epoch,
      jobs: this.state.table.jobs.size,
    });
    this.tickTimer = setInterval(() => {
      this.tick();
    }, TICK_MILLISECONDS);
  }

  private tick(): void {
    if (!this.isReady()) {
      return;
    }
    this.rounds.sendUnsent();
    const now = this.options.time.now();
    const { table } = this.state;
    const { leaseMilliseconds, logger } = this.options;
    for (const { incarnation, freed } of expireMinions(
      table,
      leaseMilliseconds,
      now,
    )) {
      logger.warn('The lease of a silent minion is over.', {
        incarnation,
        freed: freed.length,
      });
    }
    this.state.sessions.closeSilent(now);
    for (const job of table.jobs.values()) {
      addDueOccurrences(job, now);
    }
    this.stop(findStuckRuns(table, now), 'no progress');
    this.stop(tasksToMove(table, now), 'the minion drains');
    this.stopEndedJobs();
    this.state.dropOldJobs(now);
    this.rounds.planSoon();
  }

  private stopEndedJobs(): void {
    this.stop(this.state.runsOfEndedJobs(), 'the job is over');
  }

  private stop(tasks: readonly TaskEntry[], reason: string): void {
    for (const task of tasks) {
      task.stopping = true;
      const stop = { task: task.name, run: task.run };
      this.options.logger.info('A run is stopped.', { ...stop, reason });
      this.state.sessions.of(task)?.send({ kind: 'stops', stops: [stop] });
    }
  }

  private isClosed(): boolean {
    return this.closed;
  }
}
