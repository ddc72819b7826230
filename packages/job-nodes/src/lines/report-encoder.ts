import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import type { MinionDescription } from '@basilcourse/jobs/model/minion-description';
import type { RunningTask } from '@basilcourse/jobs/model/running-task';

import type { ListedRow, MeasuredRow, ReportDelta } from './report-delta.js';

/**
 * Measurements and progress change all the time; changes are sent together after
 * this time. It is shorter than the period that a measurement covers.
 */
const MEASURED_INTERVAL_MILLISECONDS = 240;

interface SentRun {
  readonly number: number;
  readonly running: RunningTask;
}

/** Encodes the reports of one stream as changes; `ReportDecoder` reads them. */
export class ReportEncoder {
  private sent = new Map<string, SentRun>();

  private sentMinion = '';

  private nextNumber = 0;

  private measuredAt = Number.NEGATIVE_INFINITY;

  /**
   * Returns what has changed since the last report.
   *
   * @param now - In monotonic milliseconds.
   */
  public encode(report: AgentReport, now: number): ReportDelta {
    const measures = now - this.measuredAt >= MEASURED_INTERVAL_MILLISECONDS;
    if (measures) {
      this.measuredAt = now;
    }
    const listed: ListedRow[] = [];
    const measured: MeasuredRow[] = [];
    const sent = new Map<string, SentRun>();
    for (const running of report.running) {
      const key = `${running.task}/${running.run}`;
      const earlier = this.sent.get(key);
      const number = earlier?.number ?? this.nextNumber++;
      if (earlier === undefined) {
        listed.push([number, running.task, running.run]);
      }
      if (earlier === undefined || measures) {
        measured.push(...measuredRow(number, earlier?.running, running));
        sent.set(key, { number, running });
      } else {
        sent.set(key, earlier);
      }
    }
    const removed = [...this.sent]
      .filter(([key]) => !sent.has(key))
      .map(([, { number }]) => number);
    this.sent = sent;
    return {
      token: report.fencingToken,
      ...this.changedMinion(report.minion),
      ...(listed.length > 0 ? { listed } : {}),
      ...(measured.length > 0 ? { measured } : {}),
      ...(removed.length > 0 ? { removed } : {}),
      ...(report.ends.length > 0 ? { ends: report.ends } : {}),
      ...(report.hasMoreEnds === true ? { hasMoreEnds: true } : {}),
      ...(report.refusals.length > 0 ? { refusals: report.refusals } : {}),
      ...(report.gone.length > 0 ? { gone: report.gone } : {}),
      ...(report.unsettled === undefined
        ? {}
        : { unsettled: report.unsettled }),
    };
  }

  private changedMinion(
    minion: MinionDescription | null,
  ): Pick<ReportDelta, 'minion'> {
    const text = JSON.stringify(minion);
    if (text === this.sentMinion) {
      return {};
    }
    this.sentMinion = text;
    return { minion };
  }
}

/** Returns the row of a run if anything about it has changed. */
function measuredRow(
  number: number,
  before: RunningTask | undefined,
  { percent, gauge, checkpoint }: RunningTask,
): readonly MeasuredRow[] {
  const sameCheckpoint = checkpoint === (before?.checkpoint ?? '');
  if (before?.percent === percent && before.gauge === gauge && sameCheckpoint) {
    return [];
  }
  return [
    sameCheckpoint
      ? [number, percent, gauge]
      : [number, percent, gauge, checkpoint],
  ];
}
