import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import type { MinionDescription } from '@basilcourse/jobs/model/minion-description';
import type { RunningTask } from '@basilcourse/jobs/model/running-task';

import type { ReportDelta } from './report-delta.js';
import { UnknownRunError } from './unknown-run-error.js';

/** Decodes the reports of one stream, which `ReportEncoder` has encoded. */
export class ReportDecoder {
  private readonly agent: string;

  private readonly running = new Map<number, RunningTask>();

  private minion: MinionDescription | null = null;

  public constructor(agent: string) {
    this.agent = agent;
  }

  /**
   * Returns the whole report.
   *
   * @throws UnknownRunError if the report names a run that was not listed.
   */
  public decode(delta: ReportDelta): AgentReport {
    if (delta.minion !== undefined) {
      this.minion = delta.minion;
    }
    for (const number of delta.removed ?? []) {
      this.running.delete(number);
    }
    for (const [number, task, run] of delta.listed ?? []) {
      const started = { task, run, checkpoint: '', percent: 0, gauge: 0 };
      this.running.set(number, started);
    }
    for (const [number, percent, gauge, checkpoint] of delta.measured ?? []) {
      const before = this.running.get(number);
      if (before === undefined) {
        throw new UnknownRunError(this.agent, number);
      }
      this.running.set(number, {
        ...before,
        percent,
        gauge,
        checkpoint: checkpoint ?? before.checkpoint,
      });
    }
    return {
      fencingToken: delta.token,
      minion: this.minion,
      running: [...this.running.values()],
      ends: delta.ends ?? [],
      ...(delta.hasMoreEnds === true ? { hasMoreEnds: true } : {}),
      refusals: delta.refusals ?? [],
      gone: delta.gone ?? [],
      ...(delta.unsettled === undefined ? {} : { unsettled: delta.unsettled }),
    };
  }
}
