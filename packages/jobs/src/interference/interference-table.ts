import type { InterferenceRow } from './interference-row.js';
import { VersionedRows } from './versioned-rows.js';

/** Slowdown per busy core that is assumed before the first observation. */
const PRIOR_SLOWDOWN = 0.03;

/** Bound of the estimated slowdown per busy core. */
const MAXIMUM_SLOWDOWN = 1;

/** An estimate from fewer observations is not reliable. */
const MINIMUM_OBSERVATIONS = 5;

/** A noticeable change exceeds this part of the estimate plus the value below. */
const NOTICEABLE_FRACTION = 0.1;

/** Slowdown per busy core; smaller changes are not sent to other processes. */
const NOTICEABLE_SLOWDOWN = 0.002;

/** Slowdown of serving images by batch images, by pair of images. */
export class InterferenceTable {
  /** Slowdown per busy core assumed of a pair that never shared a minion. */
  public readonly priorSlowdownPerCore = PRIOR_SLOWDOWN;

  private readonly pairs = new VersionedRows<InterferenceRow>(isNoticeable);

  /** Version of the newest noticeable change. */
  public get version(): number {
    return this.pairs.version;
  }

  /** Returns the slowdown that one busy core of the batch image adds. */
  public slowdownPerCore(serving: string, batch: string): number {
    return this.pairs.get(keyOf(serving, batch))?.harm ?? PRIOR_SLOWDOWN;
  }

  /** Like `slowdownPerCore`, but 0 while the pair has too few observations. */
  public reliableSlowdownPerCore(serving: string, batch: string): number {
    const row = this.pairs.get(keyOf(serving, batch));
    return row !== undefined && isReliable(row) ? row.harm : 0;
  }

  /** Stores the estimate of a pair and the number of its observations. */
  public set(
    serving: string,
    batch: string,
    slowdownPerCore: number,
    observations: number,
  ): void {
    const boundedSlowdown = Math.min(
      MAXIMUM_SLOWDOWN,
      Math.max(0, slowdownPerCore),
    );
    const row = {
      serving,
      filling: batch,
      harm: boundedSlowdown,
      observations,
    };
    this.pairs.set(keyOf(serving, batch), row);
  }

  /** Returns the pairs that changed noticeably after a version; all after 0. */
  public rowsSince(version: number): readonly InterferenceRow[] {
    return this.pairs.since(version);
  }

  /** Stores rows of another process's table. */
  public applyRows(rows: readonly InterferenceRow[]): void {
    for (const row of rows) {
      this.pairs.set(keyOf(row.serving, row.filling), row);
    }
  }
}

function isReliable({ observations }: InterferenceRow): boolean {
  return observations >= MINIMUM_OBSERVATIONS;
}

function isNoticeable(
  versionedRow: InterferenceRow,
  row: InterferenceRow,
): boolean {
  const change = Math.abs(row.harm - versionedRow.harm);
  return (
    isReliable(row) !== isReliable(versionedRow) ||
    change > NOTICEABLE_SLOWDOWN + NOTICEABLE_FRACTION * versionedRow.harm
  );
}

function keyOf(serving: string, batch: string): string {
  return `${serving} ${batch}`;
}
