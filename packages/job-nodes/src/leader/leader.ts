import { messageOf } from '@basilcourse/foundation/errors/message-of';
import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import { addDueOccurrences } from '@basilcourse/jobs/plan/add-due-occurrences';
import { planStarts } from '@basilcourse/jobs/plan/plan-starts';
import type { PlannedStart } from '@basilcourse/jobs/plan/planned-start';
import { applyReport } from '@basilcourse/jobs/reconcile/apply-report';
import { expireMinions } from '@basilcourse/jobs/reconcile/expire-minions';
import { findStuckRuns } from '@basilcourse/jobs/reconcile/find-stuck-runs';
import { tasksToMove } from '@basilcourse/jobs/reconcile/tasks-to-move';
import type { MinionEntry } from '@basilcourse/jobs/state/minion-entry';
import type { TaskEntry } from '@basilcourse/jobs/state/task-entry';

import type { QueueConfiguration } from '../configuration/queue-configuration.js';
import type { JobStore } from '../store/job-store.js';
import { pause } from '../time/pause.js';
import type { TimeSource } from '../time/time-source.js';
import type { AgentSession } from './agent-session.js';
import { answerCall } from './answer-call.js';
import type { JobAnswer } from './job-answer.js';
import type { JobCall } from './job-call.js';
import { LeaderState } from './leader-state.js';
import { loadTable } from './load-table.js';
import { sendStarts } from './send-starts.js';
import { StoreWriter } from './store-writer.js';

const TICK_MILLISECONDS = 100;

/** Changes are gathered for so long before a round of starts is planned. */
const PLAN_DELAY_MILLISECONDS = 8;

/** Nothing new is planned while the store has owed an answer for longer. */
const BLOCKED_MILLISECONDS = 600;

const LOAD_RETRY_MILLISECONDS = 100;

/** What a leader needs. */
export interface LeaderOptions {
  readonly epoch: number;
  readonly store: JobStore;
  readonly time: TimeSource;
  readonly logger: PartLogger;
  /** Longest lease of an agent's minion. */
  readonly leaseMilliseconds: number;
  /** The own right to lead is not over. */
  readonly isValid: () => boolean;
  readonly onFenced: () => void;
  /** Addresses of the entries that live. */
  readonly entries: () => readonly string[];
}

/** Decides about all jobs while this process leads. */
export class Leader {
  private readonly options: LeaderOptions;

  private readonly state: LeaderState;

  private readonly writer: StoreWriter;

  /** Starts that are stored and not sent yet. */
  private readonly unsent: PlannedStart[] = [];

  private loaded = false;

  private closed = false;

  private planTimer: NodeJS.Timeout | undefined;

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
    clearTimeout(this.planTimer);
    clearInterval(this.tickTimer);
    this.writer.close();
    this.state.closeSessions();
  }

  /** This process may decide, and knows the state. */
  public isReady(): boolean {
    return this.loaded && !this.closed && this.options.isValid();
  }

  /** Answers an entry's call. */
  public async answer(call: JobCall): Promise<JobAnswer> {
    if (!this.isReady()) {
      return { kind: 'not-leading' };
    }
    const answer = await answerCall(call, {
      state: this.state,
      now: this.options.time.now(),
      blocked: this.isBlocked(),
      afterStored: action => {
        this.writer.afterStored(action);
      },
    });
    this.planSoon();
    return answer;
  }

  /** Takes in a newer configuration: jobs follow the settings of their queue. */
  public configure(configuration: QueueConfiguration): void {
    this.state.configure(configuration);
    this.planSoon();
  }

  /** Takes up the stream of an agent. */
  public attach(create: (fencingToken: number) => AgentSession): AgentSession {
    const session = create(this.state.nextFencingToken());
    this.state.attach(session);
    session.send({
      kind: 'welcome',
      epoch: this.options.epoch,
      fencingToken: session.fencingToken,
      leaseMilliseconds: this.options.leaseMilliseconds,
    });
    return session;
  }

  /** An agent's stream has ended. */
  public detach(session: AgentSession): void {
    this.state.detach(session);
  }

  /** Extends an agent's lease, counted from its own message. */
  public hear(session: AgentSession, sentAt: number): void {
    if (!this.isReady()) {
      return;
    }
    this.state.hear(session, this.options.time.now());
    session.send({ kind: 'grant', sentAt, entries: this.options.entries() });
  }

  /** Takes in what an agent reports. */
  public report(session: AgentSession, report: AgentReport): void {
    if (!this.isReady() || report.fencingToken !== session.fencingToken) {
      return;
    }
    const now = this.options.time.now();
    this.forgetGone(session, report, now);
    const known = this.state.isKnownTo(session, report);
    const minion = this.state.takeReport(session, report, now);
    if (minion === undefined) {
      return;
    }
    if (!known) {
      session.send({ kind: 'traits', tasks: this.state.traitsFor(report) });
    }
    this.applyReportOf(session, minion, report, now);
  }

  private applyReportOf(
    session: AgentSession,
    minion: MinionEntry,
    report: AgentReport,
    now: number,
  ): void {
    this.state.interference.learn(this.state.table, session, report, now);
    const outcome = applyReport(this.state.table, minion, report, now);
    for (const { task, run, reason } of outcome.ended) {
      this.options.logger.info('A run ended.', {
        task,
        run,
        reason,
        agent: session.agent,
      });
    }
    for (const task of outcome.neverBegan) {
      this.options.logger.warn('A run never began.', {
        task,
        agent: session.agent,
        token: report.fencingToken,
      });
    }
    if (outcome.stops.length > 0) {
      session.send({ kind: 'stops', stops: outcome.stops });
    }
    if (report.ends.length > 0 || report.refusals.length > 0) {
      this.writer.afterStored(stored => {
        if (!stored) {
          return;
        }
        session.send({
          kind: 'settled',
          incarnation: minion.incarnation,
          endsThrough: outcome.endsThrough,
          refusals: report.refusals.map(({ task, run }) => `${task}/${run}`),
        });
      });
    }
    this.stopEndedJobs();
    this.planSoon();
  }

  private forgetGone(
    session: AgentSession,
    report: AgentReport,
    now: number,
  ): void {
    for (const incarnation of this.state.goneBy(session, report)) {
      const freed = this.state.table.forgetMinion(incarnation, now);
      this.options.logger.warn('A minion is gone.', {
        incarnation,
        freed: freed.length,
        agent: session.agent,
      });
      this.planSoon();
    }
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
    this.sendUnsent();
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
    this.state.closeSilent(now);
    for (const job of table.jobs.values()) {
      addDueOccurrences(job, now);
    }
    this.stop(findStuckRuns(table, now), 'no progress');
    this.stop(tasksToMove(table, now), 'the minion drains');
    this.stopEndedJobs();
    this.state.dropOldJobs(now);
    this.planSoon();
  }

  private stopEndedJobs(): void {
    this.stop(this.state.runsOfEndedJobs(), 'the job is over');
  }

  private stop(tasks: readonly TaskEntry[], reason: string): void {
    for (const task of tasks) {
      task.stopping = true;
      const stop = { task: task.name, run: task.run };
      this.options.logger.info('A run is stopped.', { ...stop, reason });
      this.state.sessionOf(task)?.send({ kind: 'stops', stops: [stop] });
    }
  }

  private planSoon(): void {
    if (this.planTimer === undefined && !this.closed) {
      this.planTimer = setTimeout(() => {
        this.planTimer = undefined;
        this.plan();
      }, PLAN_DELAY_MILLISECONDS);
    }
  }

  private plan(): void {
    if (!this.isReady()) {
      return;
    }
    if (!this.isBlocked()) {
      const now = this.options.time.now();
      const starts = planStarts(
        this.state.table,
        this.state.interference.estimate(now),
        now,
      );
      if (starts.length > 0) {
        this.assign(starts, now);
      }
    }
    this.writer.wake();
  }

  private assign(starts: readonly PlannedStart[], now: number): void {
    this.state.assign(starts, now);
    this.writer.afterStored(stored => {
      if (stored) {
        this.unsent.push(...starts);
        this.sendUnsent();
      }
    });
  }

  /** Sends stored starts; they wait while the right to lead is in doubt. */
  private sendUnsent(): void {
    if (this.unsent.length > 0 && this.isReady()) {
      sendStarts(this.state, this.unsent.splice(0), this.options.logger);
    }
  }

  private isBlocked(): boolean {
    return this.writer.blockedMilliseconds() > BLOCKED_MILLISECONDS;
  }

  private isClosed(): boolean {
    return this.closed;
  }
}
