import { connectionRefused } from '@basilcourse/foundation/errors/connection-refused';

import { WrongMinionError } from './wrong-minion-error.js';

/** Refused connections in a row that show that the minion's process is gone. */
const REFUSALS_THAT_PROVE = 3;

/** Earlier lives that are reported as gone. */
const MOST_GONE = 16;

/** Tells whether a life of the minion is over, from how calls to it fail. */
export class MinionVitals {
  private refusedInRow = 0;

  private readonly goneLives: string[] = [];

  /** Incarnations of which nothing runs any more. */
  public gone(): readonly string[] {
    return this.goneLives;
  }

  /** The minion has answered. */
  public noteAnswer(): void {
    this.refusedInRow = 0;
  }

  /**
   * Returns whether a failed call shows that the life is over.
   *
   * @param leaseOver - Every lease that the minion may have is over.
   */
  public isOver(error: unknown, leaseOver: boolean): boolean {
    if (error instanceof WrongMinionError) {
      return true;
    }
    const refused = connectionRefused(error);
    this.refusedInRow = refused ? this.refusedInRow + 1 : 0;
    return refused ? this.refusedInRow >= REFUSALS_THAT_PROVE : leaseOver;
  }

  /** A life is over. */
  public noteGone(incarnation: string): void {
    this.refusedInRow = 0;
    this.goneLives.push(incarnation);
    if (this.goneLives.length > MOST_GONE) {
      this.goneLives.shift();
    }
  }

  /** A life is heard, perhaps after it was held for over. */
  public noteAlive(incarnation: string): void {
    const position = this.goneLives.indexOf(incarnation);
    if (position >= 0) {
      this.goneLives.splice(position, 1);
    }
  }
}
