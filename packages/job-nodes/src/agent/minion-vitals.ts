import { PeerRefusedError } from '@basilcourse/foundation/errors/peer-refused-error';

import type { EndEvidence } from './end-evidence.js';
import { FencedError } from './fenced-error.js';
import { WrongMinionError } from './wrong-minion-error.js';

/** A minion that answers for this long after its departure has not left. */
const DEPARTURE_TIMEOUT_MILLISECONDS = 1500;

/** A last heartbeat may be overtaken by the departure by this much. */
const OVERTAKEN_MILLISECONDS = 100;

/** Number of earlier incarnations that are reported as departed. */
const MAXIMUM_REPORTED_DEPARTURES = 16;

/**
 * Detects the end of a minion's incarnation from how calls to it fail. Refused
 * connections alone show nothing: while the path to the minion is cut, its runs
 * go on until its lease is over. All times are monotonic milliseconds.
 */
export class MinionVitals {
  /** When the minion announced its departure; undefined if it has not. */
  private leavingSince: number | undefined;

  private readonly departedIncarnations: string[] = [];

  /** Returns incarnations whose processes and runs have ended. */
  public departed(): readonly string[] {
    return this.departedIncarnations;
  }

  /** Whether the minion has announced its departure. */
  public get isLeaving(): boolean {
    return this.leavingSince !== undefined;
  }

  /** Records that the minion has announced its departure. */
  public expectDeparture(now: number): void {
    this.leavingSince ??= now;
  }

  /**
   * Records an answer of the minion. Returns whether it shows that an announced
   * departure was that of an earlier incarnation.
   */
  public recordAnswer(now: number): boolean {
    return this.staysAfter(DEPARTURE_TIMEOUT_MILLISECONDS, now);
  }

  /**
   * Records a heartbeat of the incarnation. Returns the same: a minion that has
   * left sends none.
   */
  public recordHeartbeat(now: number): boolean {
    return this.staysAfter(OVERTAKEN_MILLISECONDS, now);
  }

  /**
   * Returns what shows that the incarnation has ended, after a failed call.
   *
   * @param leaseExpired - Every lease that the minion may hold has expired.
   */
  public evidenceOfEnd(
    error: unknown,
    leaseExpired: boolean,
  ): EndEvidence | undefined {
    if (error instanceof WrongMinionError) {
      return 'another incarnation answers';
    }
    if (error instanceof FencedError) {
      return undefined;
    }
    if (this.isLeaving && !(error instanceof PeerRefusedError)) {
      return 'it has left';
    }
    return leaseExpired ? 'its last lease is over' : undefined;
  }

  /**
   * Records the end of an incarnation. One that has not answered is not reported:
   * it is not known what an earlier agent has sent to it.
   */
  public recordDeparture(incarnation: string, hasAnswered: boolean): void {
    this.leavingSince = undefined;
    if (!hasAnswered) {
      return;
    }
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

  /** Forgets a departure that was announced longer ago than the given time. */
  private staysAfter(milliseconds: number, now: number): boolean {
    const stays =
      this.leavingSince !== undefined && now - this.leavingSince > milliseconds;
    if (stays) {
      this.leavingSince = undefined;
    }
    return stays;
  }
}
