import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { PeerRefusedError } from '@basilcourse/foundation/errors/peer-refused-error';
import type { LogFields } from '@basilcourse/foundation/logging/log-fields';

import type { EndEvidence } from './end-evidence.js';
import { FencedError } from './fenced-error.js';
import type { MinionIncarnation } from './minion-incarnation.js';
import type { MinionTrackerOptions } from './minion-tracker-options.js';
import { MinionVitals } from './minion-vitals.js';
import { WrongMinionError } from './wrong-minion-error.js';

/**
 * Tracks which incarnation of the minion is present, from heartbeats and from how
 * the minion answers. A heartbeat may come from another writer, or arrive late:
 * another incarnation than the present one counts once it has answered.
 */
export class MinionTracker {
  private readonly options: MinionTrackerOptions;

  private readonly vitals = new MinionVitals();

  /** The present incarnation, as its heartbeats describe it. */
  private announced: MinionIncarnation | undefined;

  private present: MinionIncarnation | undefined;

  private silent = false;

  private named: MinionIncarnation | undefined;

  /** The incarnation that answered last; empty before the first answer. */
  private answered = '';

  public constructor(options: MinionTrackerOptions) {
    this.options = options;
  }

  /** The present incarnation. */
  public get current(): MinionIncarnation | undefined {
    return this.present;
  }

  /** Whether the present incarnation did not answer the last call. */
  public get isSilent(): boolean {
    return this.silent;
  }

  /** Another incarnation that a heartbeat names, and that has not answered yet. */
  public get candidate(): MinionIncarnation | undefined {
    return this.named;
  }

  /** Returns incarnations whose processes and runs have ended. */
  public departed(): readonly string[] {
    return this.vitals.departed();
  }

  /** Whether this is the present incarnation. */
  public isCurrent(incarnation: string): boolean {
    return this.find(incarnation) !== undefined;
  }

  /** Whether this is the present incarnation, and it has answered. */
  public hasAnswered(incarnation: string): boolean {
    return this.answered === incarnation && this.isCurrent(incarnation);
  }

  /** Returns the present incarnation if it is the given one. */
  public find(incarnation: string): MinionIncarnation | undefined {
    const same = this.present?.description.incarnation === incarnation;
    return same ? this.present : undefined;
  }

  /** Applies a description of the minion; undefined once it has departed. */
  public update(minion: MinionIncarnation | undefined, now: number): void {
    if (minion === undefined) {
      this.end('it has left');
    } else if (this.present === undefined) {
      this.replace(minion);
    } else if (this.isCurrent(minion.description.incarnation)) {
      if (this.vitals.recordHeartbeat(now)) {
        this.warn('A departure was that of an earlier minion.', minion);
      }
      this.replace(minion);
    } else {
      this.named = minion;
    }
  }

  /** Records that the minion leaves; it has left once it does not answer. */
  public expectDeparture(now: number): void {
    if (this.present !== undefined) {
      this.vitals.expectDeparture(now);
      this.describe();
    }
  }

  /** Records an answer of the present incarnation. */
  public recordAnswer(minion: MinionIncarnation, now: number): void {
    if (this.vitals.recordAnswer(now)) {
      this.warn('A departure was that of an earlier minion.', minion);
      this.describe();
    }
    this.answered = minion.description.incarnation;
    if (this.silent && this.isCurrent(minion.description.incarnation)) {
      this.silent = false;
      this.describe();
    }
  }

  /**
   * Records a call that failed.
   *
   * @param leaseExpired - Every lease that the minion may hold has expired.
   */
  public recordFailure(
    minion: MinionIncarnation,
    error: unknown,
    leaseExpired: boolean,
  ): void {
    const reason = messageOf(error);
    this.warn('The minion did not answer.', minion, { reason });
    if (!this.isCurrent(minion.description.incarnation)) {
      return;
    }
    const evidence = this.vitals.evidenceOfEnd(error, leaseExpired);
    if (evidence !== undefined) {
      this.end(evidence);
    } else if (!isAnswer(error)) {
      this.silent = true;
      this.describe();
    }
  }

  /** Records an answer of the candidate, which shows that the present one ended. */
  public recordCandidateAnswer(candidate: MinionIncarnation): void {
    if (this.named !== undefined) {
      this.named = candidate;
      this.end('another incarnation answers');
    }
  }

  /** Records a call to the candidate that failed. */
  public recordCandidateFailure(
    candidate: MinionIncarnation,
    error: unknown,
  ): void {
    this.warn('A minion that a heartbeat names did not answer.', candidate, {
      reason: messageOf(error),
    });
    if (error instanceof WrongMinionError && this.named === candidate) {
      this.named = undefined;
    }
  }

  /** Ends the present incarnation; the one that a heartbeat named follows. */
  private end(evidence: EndEvidence): void {
    if (this.present !== undefined) {
      const { incarnation } = this.present.description;
      this.vitals.recordDeparture(incarnation, this.hasAnswered(incarnation));
      this.options.onEnd(this.present);
      this.warn('A life of the minion is over.', this.present, {
        reason: evidence,
      });
    }
    const next = this.named;
    this.named = undefined;
    this.silent = false;
    this.replace(next);
  }

  private replace(minion: MinionIncarnation | undefined): void {
    this.announced = minion;
    if (minion !== undefined) {
      this.vitals.recordContact(minion.description.incarnation);
    }
    this.describe();
  }

  /** Describes the present incarnation by its heartbeats and its answers. */
  private describe(): void {
    const before = this.present?.description;
    this.present = this.announced && {
      ...this.announced,
      description: {
        ...this.announced.description,
        ...(this.vitals.isLeaving ? { draining: true } : {}),
        ...(this.silent ? { silent: true } : {}),
      },
    };
    const after = this.present?.description;
    if (
      before?.draining !== after?.draining ||
      before?.silent !== after?.silent
    ) {
      this.options.onChange();
    }
  }

  private warn(
    sentence: string,
    { description }: MinionIncarnation,
    fields: LogFields = {},
  ): void {
    const { incarnation } = description;
    this.options.logger.warn(sentence, { incarnation, ...fields });
  }
}

/** Whether a call failed by what the minion answered. */
function isAnswer(error: unknown): boolean {
  return error instanceof FencedError || error instanceof PeerRefusedError;
}
