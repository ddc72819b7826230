import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import type { TaskTraits } from '@basilcourse/jobs/model/task-traits';
import { traitsOf } from '@basilcourse/jobs/model/traits-of';
import type { JobTable } from '@basilcourse/jobs/state/job-table';
import type { MinionEntry } from '@basilcourse/jobs/state/minion-entry';
import type { TaskEntry } from '@basilcourse/jobs/state/task-entry';

import type { AgentSession } from './agent-session.js';

/** A stream that was silent for longer is closed. */
const SILENT_MILLISECONDS = 2000;

/** The open streams of agents, and the minions beside them. */
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

  /** Takes up a stream; an earlier one of the agent ends. */
  public attach(session: AgentSession): void {
    const earlier = this.sessions.get(session.agent);
    if (earlier !== undefined) {
      earlier.close();
      this.detach(earlier);
    }
    this.sessions.set(session.agent, session);
  }

  /** Notes that a stream has ended. */
  public detach(session: AgentSession): void {
    session.open = false;
    if (this.sessions.get(session.agent) === session) {
      this.sessions.delete(session.agent);
      this.disconnect(session.incarnation);
    }
  }

  /**
   * Notes that an agent was heard, and so may extend its minion's lease. Before
   * its first report that may be any life that is known beside it.
   */
  public hear(session: AgentSession, now: number): void {
    session.heardAt = now;
    for (const minion of this.leasedBy(session)) {
      minion.lastContactAt = now;
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
  public closeAll(): void {
    for (const session of this.sessions.values()) {
      session.close();
    }
    this.sessions.clear();
  }

  /** Returns the stream of the agent beside a task's minion. */
  public of(task: TaskEntry): AgentSession | undefined {
    const minion = this.table.minions.get(task.incarnation);
    const session = minion && this.sessions.get(minion.agent);
    return session?.incarnation === task.incarnation ? session : undefined;
  }

  /** Returns the incarnations that a report shows to be over. */
  public goneBy(session: AgentSession, report: AgentReport): readonly string[] {
    const alive = report.minion?.incarnation;
    return [...this.table.minions.values()]
      .filter(minion => {
        const replaced =
          alive !== undefined &&
          minion.incarnation !== alive &&
          isBeside(session.agent, minion);
        return replaced || report.gone.includes(minion.incarnation);
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
    if (!session.open) {
      return undefined;
    }
    session.heardAt = now;
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
      repeatStops(minion);
    }
    minion.fencingToken = report.fencingToken;
    minion.lastContactAt = now;
    return minion;
  }

  private leasedBy(session: AgentSession): readonly MinionEntry[] {
    if (session.incarnation === '') {
      return [...this.table.minions.values()].filter(minion =>
        isBeside(session.agent, minion),
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

/** A minion's incarnation begins with the name of the agent beside it. */
function isBeside(agent: string, { incarnation }: MinionEntry): boolean {
  return incarnation.startsWith(`${agent}|`);
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
