import type { Neighbour } from './neighbour.js';

/** Time for which past tasks of a worker are kept. */
const RETENTION_MILLISECONDS = 120_000;

/** Tasks that ran on a worker from a time until that of the next element. */
interface RunningTasks {
  readonly from: number;
  readonly byAttempt: ReadonlyMap<string, Neighbour>;
}

function isSame(
  left: ReadonlyMap<string, Neighbour>,
  right: ReadonlyMap<string, Neighbour>,
): boolean {
  return (
    left.size === right.size &&
    [...right].every(
      ([attempt, { share }]) => left.get(attempt)?.share === share,
    )
  );
}

/**
 * Past tasks of a worker; usage samples that arrive late are matched to them.
 */
export class NeighbourHistory {
  private entries: readonly RunningTasks[] = [];

  /** Records the tasks that run from now on. */
  public record(byAttempt: ReadonlyMap<string, Neighbour>, now: number): void {
    const last = this.entries.at(-1);
    if (last !== undefined && isSame(last.byAttempt, byAttempt)) {
      return;
    }
    const kept = this.entries.filter(
      (_, index) =>
        (this.entries[index + 1]?.from ?? now) > now - RETENTION_MILLISECONDS,
    );
    this.entries = [...kept, { from: now, byAttempt }];
  }

  /** Other tasks at a time; undefined if the attempt has no record for it. */
  public neighboursAt(
    attempt: string,
    at: number,
  ): readonly Neighbour[] | undefined {
    const entry = this.entries.findLast(candidate => candidate.from <= at);
    if (entry?.byAttempt.has(attempt) !== true) {
      return undefined;
    }
    return [...entry.byAttempt]
      .filter(([other]) => other !== attempt)
      .map(([, neighbour]) => neighbour);
  }
}
