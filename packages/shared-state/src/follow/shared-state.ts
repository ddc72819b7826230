import type { FoldOutcome } from '../fold/fold-outcome.js';
import { StateFold } from '../fold/state-fold.js';
import type { StoredRecord } from '../log/stored-record.js';

/** Called after each record that was folded. */
export type OutcomeListener = (outcome: FoldOutcome) => void;

/** The state of one process: a fold, and the listeners to its changes. */
export class SharedState {
  private currentFold: StateFold = new StateFold();

  private readonly listeners = new Set<OutcomeListener>();

  private readonly replaceListeners = new Set<() => void>();

  private readonly appendListeners = new Map<
    string,
    (outcome: FoldOutcome) => void
  >();

  /** Highest end of the log reported so far. */
  private highestEnd = 0;

  public get fold(): StateFold {
    return this.currentFold;
  }

  /** Number of records in the log that have not been applied. */
  public get lag(): number {
    return Math.max(0, this.highestEnd - this.currentFold.next);
  }

  public onOutcome(listener: OutcomeListener): void {
    this.listeners.add(listener);
  }

  /** Calls back after the fold was replaced by a snapshot. */
  public onReplaced(listener: () => void): void {
    this.replaceListeners.add(listener);
  }

  /** Applies records in offset order and notifies the listeners. */
  public applyAll(records: readonly StoredRecord[], end: number): void {
    this.highestEnd = Math.max(this.highestEnd, end);
    for (const record of records) {
      const outcome = this.currentFold.apply(record);
      if (outcome !== undefined) {
        this.notify(outcome);
      }
    }
  }

  /**
   * Replaces the fold by one restored from a snapshot if that one is newer.
   * Returns whether the fold was replaced.
   */
  public replaceIfNewer(fold: StateFold): boolean {
    if (fold.next <= this.currentFold.next) {
      return false;
    }
    this.currentFold = fold;
    for (const listener of this.replaceListeners) {
      listener();
    }
    return true;
  }

  /** Calls back once when the record with the identifier is applied. */
  public whenApplied(
    identifier: string,
    listener: (outcome: FoldOutcome) => void,
  ): void {
    this.appendListeners.set(identifier, listener);
  }

  public stopWaiting(identifier: string): void {
    this.appendListeners.delete(identifier);
  }

  private notify(outcome: FoldOutcome): void {
    const { id } = outcome.record.envelope;
    const appendListener = this.appendListeners.get(id);
    if (appendListener !== undefined && outcome.reason !== 'repeated record') {
      this.appendListeners.delete(id);
      appendListener(outcome);
    }
    for (const listener of this.listeners) {
      listener(outcome);
    }
  }
}
