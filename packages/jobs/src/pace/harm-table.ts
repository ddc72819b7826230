import type { HarmRow } from './harm-row.js';
import { VersionedRows } from './versioned-rows.js';

const PRIOR_HARM = 0.03;

const MOST_HARM = 1;

/** Observations after which an estimate counts as sure. */
const SURE_AFTER = 5;

/** Changes of an estimate that are worth telling: a part of it, and slowdown. */
const NOTICEABLE_PART = 0.1;

const NOTICEABLE_HARM = 0.002;

/** How much filling images slow serving ones down, by pair. */
export class HarmTable {
  /** Harm assumed of a pair that was never seen together. */
  public readonly prior = PRIOR_HARM;

  private readonly pairs = new VersionedRows<HarmRow>(isNoticeable);

  /** Version of the newest noticeable change. */
  public get version(): number {
    return this.pairs.version;
  }

  /** Returns the slowdown that one busy core of the filling image adds. */
  public harm(serving: string, filling: string): number {
    return this.pairs.get(keyOf(serving, filling))?.harm ?? PRIOR_HARM;
  }

  /** Returns the same, or 0 while too little was seen of the pair. */
  public sureHarm(serving: string, filling: string): number {
    const row = this.pairs.get(keyOf(serving, filling));
    return row !== undefined && isSure(row) ? row.harm : 0;
  }

  /** Sets the harm of a pair, as it was found by some observations. */
  public set(
    serving: string,
    filling: string,
    found: number,
    observations: number,
  ): void {
    const harm = Math.min(MOST_HARM, Math.max(0, found));
    const row = { serving, filling, harm, observations };
    this.pairs.set(keyOf(serving, filling), row);
  }

  /** Returns the pairs that changed noticeably after a version; all after 0. */
  public rowsSince(version: number): readonly HarmRow[] {
    return this.pairs.since(version);
  }

  /** Takes over what another table knows. */
  public take(rows: readonly HarmRow[]): void {
    for (const row of rows) {
      this.pairs.set(keyOf(row.serving, row.filling), row);
    }
  }
}

function isSure({ observations }: HarmRow): boolean {
  return observations >= SURE_AFTER;
}

function isNoticeable(noted: HarmRow, row: HarmRow): boolean {
  const change = Math.abs(row.harm - noted.harm);
  return (
    isSure(row) !== isSure(noted) ||
    change > NOTICEABLE_HARM + NOTICEABLE_PART * noted.harm
  );
}

function keyOf(serving: string, filling: string): string {
  return `${serving} ${filling}`;
}
