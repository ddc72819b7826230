import type { ImageStatistics } from '@basilcourse/jobs/interference/image-statistics';
import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import { applyReport } from '@basilcourse/jobs/reconcile/apply-report';
import type { ReportOutcome } from '@basilcourse/jobs/reconcile/report-outcome';
import type { MinionEntry } from '@basilcourse/jobs/state/minion-entry';
import type { TaskEntry } from '@basilcourse/jobs/state/task-entry';

import type { AgentSession } from './agent-session.js';
import type { LeaderContext } from './leader-context.js';
import { nameTasks } from './name-tasks.js';

/**
 * Handles the messages on the streams of agents: renews leases, applies reports
 * and sends the resulting stops and confirmations.
 */
export class AgentStreamHandler {
  private readonly context: LeaderContext;

  private readonly onChange: () => void;

  /**
   * @param onChange - Called after a report that may have changed which tasks
   * can start or must stop.
   */
  public constructor(context: LeaderContext, onChange: () => void) {
    this.context = context;
    this.onChange = onChange;
  }

  /** Registers the stream of an agent, under a new fencing token. */
  public attach(create: (fencingToken: number) => AgentSession): AgentSession {
    const { state, options } = this.context;
    const session = create(state.nextFencingToken());
    state.sessions.attach(session);
    session.send({
      kind: 'welcome',
      epoch: options.epoch,
      fencingToken: session.fencingToken,
      leaseMilliseconds: options.leaseMilliseconds,
      readsDeltas: true,
    });
    return session;
  }

  /** Removes an agent's stream that has ended. */
  public detach(session: AgentSession): void {
    this.context.state.sessions.detach(session);
  }

  /**
   * Renews the lease of an agent's minion; it counts from the time at which the
   * agent sent the message. Without a lease to renew, the agent is only told the
   * entries.
   */
  public renewLease(session: AgentSession, sentAt: number): void {
    const { state, options, isReady } = this.context;
    if (!isReady()) {
      return;
    }
    const now = options.time.now();
    const renewed = state.sessions.recordContact(
      session,
      options.leaseMilliseconds,
      now,
    );
    session.answerContact(renewed, sentAt, options.entries(), now);
  }

  /** Renews the lease after a report, unless that was done a moment ago. */
  public renewLeaseAfterReport(session: AgentSession, sentAt: number): void {
    if (session.needsGrant(this.context.options.time.now())) {
      this.renewLease(session, sentAt);
    }
  }

  /** Adopts the image statistics that an agent has from earlier leaders. */
  public adopt(images: ImageStatistics): void {
    this.context.state.interference.adopt(images);
  }

  /** Applies an agent's report, unless it carries another fencing token. */
  public handleReport(session: AgentSession, report: AgentReport): void {
    const { state, options, bounds, isReady } = this.context;
    if (!isReady() || report.fencingToken !== session.fencingToken) {
      return;
    }
    const now = options.time.now();
    const departed = state.sessions.departedIncarnations(session, report);
    const alreadyReported = state.sessions.hasReportedIncarnation(
      session,
      report,
    );
    const minion = state.sessions.updateMinion(session, report, now);
    if (minion === undefined) {
      this.releaseDeparted(session, departed, report, now);
      return;
    }
    minion.recordFirstReport(
      bounds.grantedMilliseconds,
      bounds.inheritedMilliseconds,
      now,
    );
    if (!alreadyReported) {
      const tasks = state.sessions.traitsFor(report);
      session.send({ kind: 'traits', tasks });
    }
    state.interference.applyReport(state.table, session, report, now);
    const outcome = applyReport(state.table, minion, report, now);
    // Only now, as the report may list runs of an incarnation that has ended.
    this.releaseDeparted(session, departed, report, now);
    this.logOutcome(session, outcome, now);
    if (outcome.stops.length > 0) {
      session.send({ kind: 'stops', stops: outcome.stops });
    }
    this.sendSettledOnceStored(session, minion, report, outcome);
    if (!alreadyReported || mayAllowStarts(report, outcome)) {
      this.onChange();
    }
  }

  private sendSettledOnceStored(
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
    if (outcome.ended.length > 0) {
      const runs = outcome.ended.map(
        ({ task, run, reason }) => `${task}/${run} ${reason}`,
      );
      logger.info('Runs ended.', { runs: runs.join(', '), agent });
    }
    for (const task of outcome.neverBegan) {
      logger.warn('A run never began.', { task, agent, fencingToken });
    }
  }

  /** Releases the runs of incarnations that have ended, but for unsettled ones. */
  private releaseDeparted(
    session: AgentSession,
    departed: readonly string[],
    report: AgentReport,
    now: number,
  ): void {
    const { table } = this.context.state;
    const unsettled = new Set(report.unsettled);
    for (const incarnation of departed) {
      const released = table.releaseRuns(
        incarnation,
        ({ task, run }) =>
          task.isOn(incarnation, run) && unsettled.has(task.name),
        now,
      );
      const kept = table.minions.get(incarnation);
      if (kept !== undefined) {
        kept.connected = false;
      }
      if (released.length > 0 || kept === undefined) {
        this.logDeparture(session, incarnation, released, kept);
        this.onChange();
      }
    }
  }

  private logDeparture(
    { agent, fencingToken }: AgentSession,
    incarnation: string,
    released: readonly TaskEntry[],
    kept: MinionEntry | undefined,
  ): void {
    this.context.options.logger.warn('A minion is gone.', {
      incarnation,
      freed: released.length,
      runs: nameTasks(released),
      unsettled: kept?.runs.size ?? 0,
      agent,
      token: fencingToken,
    });
  }
}

/** Whether a report frees capacity, or lets tasks start that could not before. */
function mayAllowStarts(
  { ends, refusals }: AgentReport,
  { neverBegan }: ReportOutcome,
): boolean {
  return ends.length + refusals.length + neverBegan.length > 0;
}
