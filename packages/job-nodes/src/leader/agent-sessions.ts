import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import type { TaskTraits } from '@basilcourse/jobs/model/task-traits';
import { traitsOf } from '@basilcourse/jobs/model/traits-of';
import type { JobTable } from '@basilcourse/jobs/state/job-table';
import type { MinionEntry } from '@basilcourse/jobs/state/minion-entry';
import type { TaskEntry } from '@basilcourse/jobs/state/task-entry';

import type { AgentSession } from './agent-session.js';

/** A stream on which nothing was received for this long is closed. */
const STREAM_TIMEOUT_MILLISECONDS = 2000;

/** Tracks the open streams of agents and the minions on the agents' VMs. */
export class AgentSessions {
  private readonly sessions = new Map<string, AgentSession>();

  private readonly table: JobTable;

  public constructor(table: JobTable) {
    this.table = table;
  }

  /** Number of open streams. */
  public get count(): number {
    return this.sessions.size;
  }

  /** Adds a stream, and closes an earlier one of the same agent. */
  public attach(session: AgentSession): void {
    const earlier = this.sessions.get(session.agent);
    if (earlier !== undefined) {
      earlier.close();
      this.detach(earlier);
    }
    this.sessions.set(session.agent, session);
  }

  /** Removes a stream, and marks its minion as disconnected. */
  public detach(session: AgentSession): void {
    session.open = false;
    if (this.sessions.get(session.agent) === session) {
      this.sessions.delete(session.agent);
      this.disconnect(session.incarnation);
    }
  }

  /**
   * Records a message from an agent, and returns whether it renews a lease: that
   * of the minion that the agent has reported on this stream. Until the first
   * report, it renews the leases of all recorded incarnations on the VM, as any
   * of them may be the running one, but only while each was reported on, or read
   * from the store, less than one lease ago. So an agent without a minion does
   * not keep the runs of an ended one.
   */
  public recordContact(
    session: AgentSession,
    leaseMilliseconds: number,
    now: number,
  ): boolean {
    session.lastContactAt = now;
    const minions = this.minionsLeasedBy(session);
    const renewed =
      session.incarnation !== '' ||
      minions.every(({ reportedAt }) => now - reportedAt <= leaseMilliseconds);
    if (renewed) {
      for (const minion of minions) {
        minion.lastContactAt = now;
      }
    }
    return renewed;
  }

  /** Closes the streams of agents that have stopped sending. */
  public closeUnresponsive(now: number): void {
    for (const session of [...this.sessions.values()]) {
      if (now - session.lastContactAt > STREAM_TIMEOUT_MILLISECONDS) {
        session.close();
        this.detach(session);
      }
    }
  }

  /** Closes all streams. */
  public closeAll(): void {
    for (const session of this.sessions.values()) {
      session.close();
    }
    this.sessions.clear();
  }

  /** Returns the stream of the agent on the VM of a task's minion. */
  public sessionFor(task: TaskEntry): AgentSession | undefined {
    const minion = this.table.minions.get(task.incarnation);
    const session = minion && this.sessions.get(minion.agent);
    return session?.incarnation === task.incarnation ? session : undefined;
  }

  /** Returns the incarnations that have ended according to a report. */
  public departedIncarnations(
    session: AgentSession,
    report: AgentReport,
  ): readonly string[] {
    const replaced = this.hasReportedIncarnation(session, report)
      ? []
      : this.replacedIncarnations(session, report.minion?.incarnation);
    const gone = report.gone.filter(
      incarnation =>
        this.table.minions.has(incarnation) && !replaced.includes(incarnation),
    );
    return [...replaced, ...gone];
  }

  /** Returns whether the stream has reported this minion incarnation before. */
  public hasReportedIncarnation(
    session: AgentSession,
    report: AgentReport,
  ): boolean {
    return session.incarnation === (report.minion?.incarnation ?? '');
  }

  /** Returns the recorded traits of the running tasks in a report. */
  public traitsFor({ running }: AgentReport): readonly TaskWithTraits[] {
    return running.flatMap(({ task }) => {
      const state = this.table.task(task);
      return state === undefined
        ? []
        : [{ task, traits: traitsOf(state.specification) }];
    });
  }

  /**
   * Updates the minion from a report; returns undefined if the stream is closed
   * or the agent has no running minion.
   */
  public updateMinion(
    session: AgentSession,
    report: AgentReport,
    now: number,
  ): MinionEntry | undefined {
    if (!session.open) {
      return undefined;
    }
    session.lastContactAt = now;
    if (report.minion === null) {
      this.disconnect(session.incarnation);
      session.incarnation = '';
      return undefined;
    }
    session.incarnation = report.minion.incarnation;
    const minion = this.table.getOrAddMinion(report.minion.incarnation, now);
    minion.description = report.minion;
    minion.agent = session.agent;
    minion.connected = true;
    if (minion.fencingToken !== report.fencingToken) {
      markStopsUnsent(minion);
    }
    minion.fencingToken = report.fencingToken;
    minion.lastContactAt = now;
    minion.reportedAt = now;
    return minion;
  }

  /** Returns the incarnations on the agent's VM before the current one. */
  private replacedIncarnations(
    { agent }: AgentSession,
    currentIncarnation: string | undefined,
  ): readonly string[] {
    if (currentIncarnation === undefined) {
      return [];
    }
    return [...this.table.minions.values()]
      .filter(
        minion =>
          minion.incarnation !== currentIncarnation &&
          isOnSameVm(agent, minion),
      )
      .map(({ incarnation }) => incarnation);
  }

  private minionsLeasedBy(session: AgentSession): readonly MinionEntry[] {
    if (session.incarnation === '') {
      return [...this.table.minions.values()].filter(minion =>
        isOnSameVm(session.agent, minion),
      );
    }
    const minion = this.table.minions.get(session.incarnation);
    return minion === undefined ? [] : [minion];
  }

  private disconnect(incarnation: string): void {
    const minion = this.table.minions.get(incarnation);
    if (minion !== undefined) {
      minion.connected = false;
    }
  }
}

/** A minion's incarnation starts with the name of the agent on its VM. */
function isOnSameVm(agent: string, { incarnation }: MinionEntry): boolean {
  return incarnation.startsWith(`${agent}|`);
}

interface TaskWithTraits {
  readonly task: string;
  readonly traits: TaskTraits;
}

/** Marks stops to be sent again; those on an earlier stream may be lost. */
function markStopsUnsent(minion: MinionEntry): void {
  for (const { task, run } of minion.runs.values()) {
    if (task.run === run) {
      task.stopping = false;
    }
  }
}
