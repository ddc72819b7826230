import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import type { QueueSettings } from '@basilcourse/jobs/model/queue-settings';
import type { TaskTraits } from '@basilcourse/jobs/model/task-traits';
import { traitsOf } from '@basilcourse/jobs/model/traits-of';
import type { PlannedStart } from '@basilcourse/jobs/plan/planned-start';
import { encodeProgress } from '@basilcourse/jobs/records/encode-progress';
import type { JobRecord } from '@basilcourse/jobs/records/job-record';
import type { JobEntry } from '@basilcourse/jobs/state/job-entry';
import { JobTable } from '@basilcourse/jobs/state/job-table';
import type { MinionEntry } from '@basilcourse/jobs/state/minion-entry';
import type { TaskEntry } from '@basilcourse/jobs/state/task-entry';

import type { QueueConfiguration } from '../configuration/queue-configuration.js';
import type { StoredValue } from '../store/stored-value.js';
import type { AgentSession } from './agent-session.js';
import { InterferenceWatch } from './interference-watch.js';
import { JOB_KEY_PREFIX, PROGRESS_KEY_PREFIX } from './record-keys.js';

/** Fencing tokens that one epoch can give. */
const TOKENS_PER_EPOCH = 1_000_000;

/** A stream that was silent for longer is closed. */
const SILENT_MILLISECONDS = 2000;

/** Ended jobs are kept for so long. */
const KEEP_ENDED_MILLISECONDS = 150_000;

/** What a leader knows and what it has yet to store. */
export class LeaderState {
  public readonly table = new JobTable();

  public readonly interference = new InterferenceWatch();

  private readonly sessions = new Map<string, AgentSession>();

  private readonly newJobs: JobEntry[] = [];

  private readonly droppedJobs: string[] = [];

  private readonly epoch: number;

  private queues: ReadonlyMap<string, QueueSettings> = new Map();

  private tokensGiven = 0;

  public constructor(epoch: number) {
    this.epoch = epoch;
  }

  /** Returns a token that is higher than all before, in all epochs. */
  public nextFencingToken(): number {
    this.tokensGiven += 1;
    return this.epoch * TOKENS_PER_EPOCH + this.tokensGiven;
  }

  /** Takes in a newer configuration. */
  public configure(configuration: QueueConfiguration): void {
    this.queues = new Map(
      configuration.queues.map(({ settings }) => [settings.name, settings]),
    );
    this.configureJobs();
  }

  /** Gives jobs the settings of their queues; those of a dropped one stay. */
  public configureJobs(): void {
    for (const job of this.table.jobs.values()) {
      job.queue = this.queues.get(job.specification.queue) ?? job.queue;
    }
  }

  /** Adds an accepted job, to be stored. */
  public accept(record: JobRecord): void {
    const { specification, queue, acceptedAt } = record;
    this.newJobs.push(this.table.add(specification, queue, acceptedAt));
  }

  /** Returns what has to be stored, and counts it as handed over. */
  public collect(): readonly StoredValue[] {
    const values: StoredValue[] = [];
    for (const job of this.newJobs.splice(0)) {
      values.push(jobValue(job));
    }
    for (const identifier of this.table.changed) {
      const job = this.table.jobs.get(identifier);
      if (job !== undefined) {
        const value = JSON.stringify(encodeProgress(job));
        values.push({ key: PROGRESS_KEY_PREFIX + identifier, value });
      }
    }
    this.table.changed.clear();
    for (const identifier of this.droppedJobs.splice(0)) {
      values.push({ key: JOB_KEY_PREFIX + identifier, value: undefined });
      values.push({ key: PROGRESS_KEY_PREFIX + identifier, value: undefined });
    }
    return values;
  }

  /** Takes up a stream; an earlier one of the agent ends. */
  public attach(session: AgentSession): void {
    this.sessions.get(session.agent)?.close();
    this.sessions.set(session.agent, session);
  }

  /** Notes that a stream has ended. */
  public detach(session: AgentSession): void {
    session.open = false;
    if (this.sessions.get(session.agent) === session) {
      this.sessions.delete(session.agent);
      const minion = this.table.minions.get(session.incarnation);
      if (minion !== undefined) {
        minion.connected = false;
      }
    }
  }

  /** Notes that an agent was heard. */
  public hear(session: AgentSession, now: number): void {
    session.heardAt = now;
    const minion = this.table.minions.get(session.incarnation);
    if (minion !== undefined) {
      minion.heardAt = now;
    }
  }

  /** Ends the streams of agents that are silent. */
  public closeSilent(now: number): void {
    for (const session of [...this.sessions.values()]) {
      if (now - session.heardAt > SILENT_MILLISECONDS) {
        session.close();
        this.detach(session);
      }
    }
  }

  /** Ends all streams. */
  public closeSessions(): void {
    for (const session of this.sessions.values()) {
      session.close();
    }
    this.sessions.clear();
  }

  /** Returns the stream of the agent beside a task's minion. */
  public sessionOf(task: TaskEntry): AgentSession | undefined {
    const minion = this.table.minions.get(task.incarnation);
    const session = minion && this.sessions.get(minion.agent);
    return session?.incarnation === task.incarnation ? session : undefined;
  }

  /** Returns the incarnations that a report shows to be over. */
  public goneBy(session: AgentSession, report: AgentReport): readonly string[] {
    const alive = report.minion?.incarnation;
    return [...this.table.minions.values()]
      .filter(({ incarnation, agent }) => {
        const replaced =
          alive !== undefined &&
          incarnation !== alive &&
          (agent === session.agent ||
            incarnation.startsWith(`${session.agent}|`));
        return replaced || report.gone.includes(incarnation);
      })
      .map(({ incarnation }) => incarnation);
  }

  /** The stream has reported this life of its minion before. */
  public isKnownTo(session: AgentSession, report: AgentReport): boolean {
    return session.incarnation === (report.minion?.incarnation ?? '');
  }

  /** Returns what is known of the tasks that a report lists as running. */
  public traitsFor({ running }: AgentReport): readonly KnownTask[] {
    return running.flatMap(({ task }) => {
      const entry = this.table.task(task);
      return entry === undefined
        ? []
        : [{ task, traits: traitsOf(entry.specification) }];
    });
  }

  /** Notes what a report says of the minion itself. */
  public takeReport(
    session: AgentSession,
    report: AgentReport,
    now: number,
  ): MinionEntry | undefined {
    session.heardAt = now;
    if (report.minion === null) {
      session.incarnation = '';
      return undefined;
    }
    session.incarnation = report.minion.incarnation;
    const minion = this.table.minion(report.minion.incarnation, now);
    minion.description = report.minion;
    minion.agent = session.agent;
    minion.connected = true;
    if (minion.fencingToken !== report.fencingToken) {
      repeatStops(minion);
    }
    minion.fencingToken = report.fencingToken;
    minion.heardAt = now;
    return minion;
  }

  /** Puts tasks on the minions chosen for them. */
  public assign(starts: readonly PlannedStart[], now: number): void {
    const gangRuns = new Map<string, number>();
    for (const { task } of starts) {
      if (task.specification.gang) {
        const key = `${task.jobIdentifier}.${task.occurrence}.${task.step}`;
        gangRuns.set(key, Math.max(gangRuns.get(key) ?? 0, task.run));
      }
    }
    for (const { task, minion } of starts) {
      const key = `${task.jobIdentifier}.${task.occurrence}.${task.step}`;
      const run = (gangRuns.get(key) ?? task.run) + 1;
      task.assign(minion.incarnation, run, minion.fencingToken, now);
      minion.hold(task, run);
      this.table.touch(task);
    }
  }

  /** Returns current runs of jobs that are over, not yet told to stop. */
  public runsOfEndedJobs(): readonly TaskEntry[] {
    const runs: TaskEntry[] = [];
    for (const minion of this.table.minions.values()) {
      for (const { entry, run } of minion.runs.values()) {
        const job = this.table.jobs.get(entry.jobIdentifier);
        const current = entry.phase === 'assigned' && entry.run === run;
        if (current && !entry.stopping && job?.ended !== undefined) {
          runs.push(entry);
        }
      }
    }
    return runs;
  }

  /** Drops jobs that ended long ago. */
  public dropOldJobs(now: number): void {
    for (const [identifier, job] of this.table.jobs) {
      if (
        job.ended !== undefined &&
        now - job.endedAt > KEEP_ENDED_MILLISECONDS
      ) {
        this.table.jobs.delete(identifier);
        this.droppedJobs.push(identifier);
      }
    }
  }
}

interface KnownTask {
  readonly task: string;
  readonly traits: TaskTraits;
}

/** Lets stops be sent again, as those of an ended stream may be lost. */
function repeatStops(minion: MinionEntry): void {
  for (const { entry, run } of minion.runs.values()) {
    if (entry.run === run) {
      entry.stopping = false;
    }
  }
}

function jobValue(job: JobEntry): StoredValue {
  const { specification, queue, acceptedAt } = job;
  const record: JobRecord = { specification, queue, acceptedAt };
  return {
    key: JOB_KEY_PREFIX + specification.identifier,
    value: JSON.stringify(record),
  };
}
