import type { ImageStatistics } from '@basilcourse/jobs/interference/image-statistics';
import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import { applyReport } from '@basilcourse/jobs/reconcile/apply-report';
import type { ReportOutcome } from '@basilcourse/jobs/reconcile/report-outcome';
import type { MinionEntry } from '@basilcourse/jobs/state/minion-entry';

import type { AgentSession } from './agent-session.js';
import type { LeaderContext } from './leader-context.js';

/** Serves the streams of agents: leases, reports, and what follows from them. */
export class AgentDesk {
  private readonly context: LeaderContext;

  private readonly onChange: () => void;

  /**
   * @param onChange - Called once a report may have changed what can start or
   * has to stop.
   */
  public constructor(context: LeaderContext, onChange: () => void) {
    this.context = context;
    this.onChange = onChange;
  }

  /** Takes up the stream of an agent. */
  public attach(create: (fencingToken: number) => AgentSession): AgentSession {
    const { state, options } = this.context;
    const session = create(state.nextFencingToken());
    state.sessions.attach(session);
    session.send({
      kind: 'welcome',
      epoch: options.epoch,
      fencingToken: session.fencingToken,
      leaseMilliseconds: options.leaseMilliseconds,
    });
    return session;
  }

  /** An agent's stream has ended. */
  public detach(session: AgentSession): void {
    this.context.state.sessions.detach(session);
  }

  /** Extends an agent's lease, counted from its own message. */
  public hear(session: AgentSession, sentAt: number): void {
    const { state, options, isReady } = this.context;
    if (isReady()) {
      state.sessions.hear(session, options.time.now());
      session.send({ kind: 'grant', sentAt, entries: options.entries() });
    }
  }

  /** Takes over what an agent was told of images by the last leader. */
  public adopt(images: ImageStatistics): void {
    this.context.state.interference.adopt(images);
  }

  /** Takes in what an agent reports. */
  public report(session: AgentSession, report: AgentReport): void {
    const { state, options, isReady } = this.context;
    if (!isReady() || report.fencingToken !== session.fencingToken) {
      return;
    }
    const now = options.time.now();
    this.forgetGone(session, report, now);
    const known = state.sessions.isKnownTo(session, report);
    const minion = state.sessions.takeReport(session, report, now);
    if (minion === undefined) {
      return;
    }
    if (!known) {
      const tasks = state.sessions.traitsFor(report);
      session.send({ kind: 'traits', tasks });
    }
    state.interference.learn(state.table, session, report, now);
    const outcome = applyReport(state.table, minion, report, now);
    this.logOutcome(session, outcome, now);
    if (outcome.stops.length > 0) {
      session.send({ kind: 'stops', stops: outcome.stops });
    }
    this.settleOnceStored(session, minion, report, outcome);
    this.onChange();
  }

  private settleOnceStored(
    session: AgentSession,
    { incarnation }: MinionEntry,
    report: AgentReport,
    { endsThrough }: ReportOutcome,
  ): void {
    if (report.ends.length === 0 && report.refusals.length === 0) {
      return;
    }
    const refusals = report.refusals.map(({ task, run }) => `${task}/${run}`);
    this.context.writer.afterStored(stored => {
      if (stored) {
        session.send({ kind: 'settled', incarnation, endsThrough, refusals });
      }
    });
  }

  private logOutcome(
    session: AgentSession,
    outcome: ReportOutcome,
    now: number,
  ): void {
    const { logger, observe } = this.context.options;
    const { agent, fencingToken } = session;
    for (const { acceptedAt, specification } of outcome.begun) {
      const waitedMilliseconds = Math.round(now - acceptedAt);
      const { identifier, queue } = specification;
      observe('first-start', 'begun', waitedMilliseconds);
      logger.info('A job has begun.', {
        job: identifier,
        queue,
        waitedMilliseconds,
      });
    }
    for (const { task, run, reason } of outcome.ended) {
      logger.info('A run ended.', { task, run, reason, agent });
    }
    for (const task of outcome.neverBegan) {
      logger.warn('A run never began.', { task, agent, fencingToken });
    }
  }

  private forgetGone(
    session: AgentSession,
    report: AgentReport,
    now: number,
  ): void {
    const { state, options } = this.context;
    for (const incarnation of state.sessions.goneBy(session, report)) {
      const freed = state.table.removeMinion(incarnation, now);
      options.logger.warn('A minion is gone.', {
        incarnation,
        freed: freed.length,
        agent: session.agent,
      });
      this.onChange();
    }
  }
}
