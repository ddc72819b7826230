import type { HarmRow } from './harm-row.js';
const PRIOR_HARM = 0.03;

const MOST_HARM = 1;

/** Observations after which an estimate counts as sure. */
const SURE_AFTER = 5;

/** How much filling images slow serving ones down, by pair. */
export class HarmTable {
  /** Harm assumed of a pair that was never seen together. */
  public readonly prior = PRIOR_HARM;

  private readonly harms = new Map<string, HarmRow>();

  /** Returns the slowdown that one busy core of the filling image adds. */
  public harm(serving: string, filling: string): number {
    return this.harms.get(keyOf(serving, filling))?.harm ?? PRIOR_HARM;
  }

  /** Returns the same, or 0 while too little was seen of the pair. */
  public sureHarm(serving: string, filling: string): number {
    const row = this.harms.get(keyOf(serving, filling));
    return row !== undefined && row.observations >= SURE_AFTER ? row.harm : 0;
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
    this.harms.set(keyOf(serving, filling), row);
  }

  /** Returns all pairs that were seen. */
  public rows(): readonly HarmRow[] {
    return [...this.harms.values()];
  }

  /** Takes over what another table knows. */
  public take(rows: readonly HarmRow[]): void {
    for (const row of rows) {
      this.harms.set(keyOf(row.serving, row.filling), row);
    }
  }
}

function keyOf(serving: string, filling: string): string {
  return `${serving} ${filling}`;
}
