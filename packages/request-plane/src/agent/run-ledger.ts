import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';

import { notRunOutcome, unknownOutcome } from '../outcome/outcomes.js';
import type { RunOutcome } from '../outcome/run-outcome.js';
import type { LedgerEntry } from './ledger-entry.js';

/** Maximum number of requests that one agent remembers. */
const MAXIMUM_RECORDED_REQUESTS = 50_000;

/** Maximum total size of the answers that one agent keeps for repeats. */
const MAXIMUM_KEPT_BYTES = 16 * 1024 * 1024;

/** Maximum size of one answer that is kept for repeats. */
const MAXIMUM_KEPT_ANSWER_BYTES = 256 * 1024;

function sizeOf(outcome: RunOutcome | undefined): number {
  return outcome?.kind === 'completed' ? outcome.body.length : 0;
}

/**
 * Records the state of each request that was sent to one agent.
 *
 * A request begins at most once: `begin` succeeds only from `waiting`, and a
 * fenced request stays fenced, however late its message arrives.
 */
export class RunLedger {
  private readonly entries = new BoundedMap<LedgerEntry>(
    MAXIMUM_RECORDED_REQUESTS,
    entry => {
      this.keptBytes -= sizeOf(entry.outcome);
    },
  );

  private keptBytes = 0;

  /**
   * Records an arrived request; false if its identifier is already recorded.
   */
  public accept(requestId: string, now: number): boolean {
    if (this.entries.has(requestId)) {
      return false;
    }
    this.set(requestId, 'waiting', undefined, now);
    return true;
  }

  /**
   * Records that a request is about to be sent; false if it must not be sent.
   */
  public begin(requestId: string, now: number): boolean {
    if (this.entries.get(requestId)?.state !== 'waiting') {
      return false;
    }
    this.set(requestId, 'began', undefined, now);
    return true;
  }

  /** Records the outcome of a request, with its answer if it is to be kept. */
  public end(
    requestId: string,
    outcome: RunOutcome,
    keepAnswer: boolean,
    now: number,
  ): void {
    const bytes = sizeOf(outcome);
    const fitsInMemory = this.keptBytes + bytes <= MAXIMUM_KEPT_BYTES;
    const isKept =
      keepAnswer && bytes <= MAXIMUM_KEPT_ANSWER_BYTES && fitsInMemory;
    const kept =
      outcome.kind === 'completed' && !isKept
        ? unknownOutcome(
            'agent.recover',
            'local',
            'ran, and its answer was not kept',
          )
        : outcome;
    this.keptBytes += sizeOf(kept);
    this.set(requestId, 'ended', kept, now);
  }

  /** Prevents a request from beginning, and returns its outcome so far. */
  public fence(requestId: string, now: number): RunOutcome {
    const entry = this.entries.get(requestId);
    if (entry === undefined || entry.state === 'waiting') {
      this.set(requestId, 'fenced', undefined, now);
    }
    if (entry?.state === 'began') {
      return unknownOutcome('agent.fence', 'local', 'the request is running');
    }
    if (entry?.state === 'ended' && entry.outcome !== undefined) {
      return entry.outcome;
    }
    return notRunOutcome('agent.fence', 'local', 'fenced before it began');
  }

  public find(requestId: string): LedgerEntry | undefined {
    return this.entries.get(requestId);
  }

  /** Drops requests that have not changed for the given time. */
  public sweep(olderThanMilliseconds: number, now: number): void {
    this.entries.dropWhile(entry => {
      const isOld = now - entry.changedAt > olderThanMilliseconds;
      if (isOld) {
        this.keptBytes -= sizeOf(entry.outcome);
      }
      return isOld;
    });
  }

  private set(
    requestId: string,
    state: LedgerEntry['state'],
    outcome: RunOutcome | undefined,
    changedAt: number,
  ): void {
    this.entries.set(requestId, { state, outcome, changedAt });
  }
}
