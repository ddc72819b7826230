import { connectionRefused } from '@basilcourse/foundation/errors/connection-refused';

import { WrongMinionError } from './wrong-minion-error.js';

/** Consecutive refused connections after which the process counts as ended. */
const MINIMUM_CONSECUTIVE_REFUSALS = 3;

/** Number of earlier incarnations that are reported as departed. */
const MAXIMUM_REPORTED_DEPARTURES = 16;

/** Detects the end of a minion's incarnation from how calls to it fail. */
export class MinionVitals {
  private consecutiveRefusals = 0;

  private readonly departedIncarnations: string[] = [];

  /** Returns incarnations whose processes and runs have ended. */
  public departed(): readonly string[] {
    return this.departedIncarnations;
  }

  /** Records an answer of the minion. */
  public recordAnswer(): void {
    this.consecutiveRefusals = 0;
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
    this.consecutiveRefusals = refused ? this.consecutiveRefusals + 1 : 0;
    return refused
      ? this.consecutiveRefusals >= MINIMUM_CONSECUTIVE_REFUSALS
      : leaseExpired;
  }

  /** Records the end of an incarnation. */
  public recordDeparture(incarnation: string): void {
    this.consecutiveRefusals = 0;
    this.departedIncarnations.push(incarnation);
    if (this.departedIncarnations.length > MAXIMUM_REPORTED_DEPARTURES) {
      this.departedIncarnations.shift();
    }
  }

  /** Records contact with an incarnation, which has not departed after all. */
  public recordContact(incarnation: string): void {
    const position = this.departedIncarnations.indexOf(incarnation);
    if (position >= 0) {
      this.departedIncarnations.splice(position, 1);
    }
  }
}
