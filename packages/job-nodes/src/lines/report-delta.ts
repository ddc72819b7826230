import type { MinionDescription } from '@basilcourse/jobs/model/minion-description';
import type { RunEnd } from '@basilcourse/jobs/model/run-end';
import type { StartRefusal } from '@basilcourse/jobs/model/start-refusal';

/** A run that is listed for the first time: its number, its task and the run. */
export type ListedRow = readonly [number, string, number];

/** Number of a run, its progress, its measurement and its checkpoint if new. */
export type MeasuredRow = readonly [number, number, number, string?];

/**
 * A report on a stream, without what earlier reports on that stream have told.
 * Runs are numbered in the order in which the stream lists them first.
 */
export interface ReportDelta {
  readonly token: number;
  /** Absent if it is that of the report before; null without a minion. */
  readonly minion?: MinionDescription | null;
  readonly listed?: readonly ListedRow[];
  readonly measured?: readonly MeasuredRow[];
  /** Numbers of runs that are listed no more. */
  readonly removed?: readonly number[];
  readonly ends?: readonly RunEnd[];
  readonly hasMoreEnds?: boolean;
  readonly refusals?: readonly StartRefusal[];
  readonly gone?: readonly string[];
  readonly unsettled?: readonly string[];
}
