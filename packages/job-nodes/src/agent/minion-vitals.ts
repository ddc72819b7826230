import { connectionRefused } from '@basilcourse/foundation/errors/connection-refused';

import { WrongMinionError } from './wrong-minion-error.js';

/** Refused connections in a row that show that the minion's process ended. */
const MINIMUM_CONSECUTIVE_REFUSALS = 3;

/** Earlier incarnations that are reported as departed. */
const MAXIMUM_REPORTED_DEPARTURES = 16;

/** Detects the end of a minion's incarnation from how calls to it fail. */
export class MinionVitals {
  private refusedInRow = 0;

  private readonly departedIncarnations: string[] = [];

  /** Incarnations of which nothing runs any more. */
  public departed(): readonly string[] {
    return this.departedIncarnations;
  }

  /** Records an answer of the minion. */
  public recordAnswer(): void {
    this.refusedInRow = 0;
  }

  /**
   * Returns whether a failed call shows that the incarnation has ended.
   *
   * @param leaseExpired - Every lease that the minion may hold has expired.
   */
  public hasEnded(error: unknown, leaseExpired: boolean): boolean {
    if (error instanceof WrongMinionError) {
      return true;
    }
    const refused = connectionRefused(error);
    this.refusedInRow = refused ? this.refusedInRow + 1 : 0;
    return refused
      ? this.refusedInRow >= MINIMUM_CONSECUTIVE_REFUSALS
      : leaseExpired;
  }

  /** Records the end of an incarnation. */
  public recordDeparture(incarnation: string): void {
    this.refusedInRow = 0;
    this.departedIncarnations.push(incarnation);
    if (this.departedIncarnations.length > MAXIMUM_REPORTED_DEPARTURES) {
      this.departedIncarnations.shift();
    }
  }

  /** Records contact with an incarnation, even if recorded as departed. */
  public recordContact(incarnation: string): void {
    const position = this.departedIncarnations.indexOf(incarnation);
    if (position >= 0) {
      this.departedIncarnations.splice(position, 1);
    }
  }
}
