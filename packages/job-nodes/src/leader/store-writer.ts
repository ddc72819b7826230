import { messageOf } from '@basilcourse/foundation/errors/message-of';

import { AppendRefusedError } from '../store/append-refused-error.js';
import { recordBytes } from '../store/record-bytes.js';
import { splitAppends } from '../store/split-appends.js';
import type { StoredValue } from '../store/stored-value.js';
import { pause } from '../time/pause.js';
import type { StoreWriterOptions } from './store-writer-options.js';

/** Time for which changes are collected before they are stored together. */
const COLLECT_DELAY_MILLISECONDS = 12;

const RETRY_DELAY_MILLISECONDS = 60;

/**
 * Stores changes in order, one append at a time, and runs the actions that wait
 * for them afterwards. An append without an answer is retried under the
 * same sequence number until it is answered. A value that can't be stored is left
 * out, so that it keeps no other one from being stored.
 */
export class StoreWriter {
  private readonly options: StoreWriterOptions;

  private actions: ((stored: boolean) => void)[] = [];

  /** Actions that wait for the append in progress. */
  private actionsInProgress: ((stored: boolean) => void)[] = [];

  private running = false;

  private closed = false;

  private sequence = 0;

  private appendStartedAt = 0;

  public constructor(options: StoreWriterOptions) {
    this.options = options;
  }

  /**
   * Runs an action with `true` once all changes so far are stored, or with
   * `false` once this writer can no longer determine whether they are.
   */
  public afterStored(action: (stored: boolean) => void): void {
    if (this.closed) {
      action(false);
      return;
    }
    this.actions.push(action);
    this.startStoring();
  }

  /** Starts storing changes, unless that is in progress. */
  public startStoring(): void {
    if (!this.running && !this.closed) {
      this.running = true;
      void this.run();
    }
  }

  /** Stops; waiting actions run with `false`. */
  public close(): void {
    this.closed = true;
    const waiting = [
      ...this.actionsInProgress.splice(0),
      ...this.actions.splice(0),
    ];
    waiting.forEach(action => {
      action(false);
    });
  }

  /** Milliseconds since the unanswered append began; 0 if there is none. */
  public pendingMilliseconds(): number {
    return this.appendStartedAt === 0
      ? 0
      : this.options.time.steady() - this.appendStartedAt;
  }

  private async run(): Promise<void> {
    while (!this.closed) {
      await pause(COLLECT_DELAY_MILLISECONDS);
      this.actionsInProgress = this.actions;
      this.actions = [];
      const values = this.options.collect();
      const stored = await this.storeAll(values);
      this.actionsInProgress.splice(0).forEach(action => {
        action(stored);
      });
      if (!stored) {
        break;
      }
      if (this.actions.length === 0 && values.length === 0) {
        break;
      }
    }
    this.running = false;
  }

  /** Stores values in as many appends as they need; false if that failed. */
  private async storeAll(values: readonly StoredValue[]): Promise<boolean> {
    const { appends, oversized } = splitAppends(values, this.options.limits);
    for (const value of oversized) {
      this.leaveOut(value, 'it is larger than a record of the store');
    }
    for (const append of appends) {
      if (!(await this.store(append))) {
        return false;
      }
    }
    return true;
  }

  /** Stores the values of one append; false if that failed. */
  private async store(values: readonly StoredValue[]): Promise<boolean> {
    const { store, epoch, logger, time, onFenced } = this.options;
    this.appendStartedAt = time.steady();
    for (let tries = 1; !this.isClosed(); tries += 1) {
      try {
        const stored = await store.append(epoch, this.sequence, values);
        this.appendStartedAt = 0;
        this.sequence += 1;
        if (!stored) {
          this.close();
          onFenced();
        }
        return stored;
      } catch (error) {
        if (error instanceof AppendRefusedError) {
          return this.storeApart(values, messageOf(error));
        }
        logger.warn('The store did not answer an append.', {
          reason: messageOf(error),
          tries,
          sequence: this.sequence,
          records: values.length,
          bytes: totalBytes(values),
        });
        await pause(RETRY_DELAY_MILLISECONDS);
      }
    }
    return false;
  }

  /** Stores the halves of a refused append, down to the value to leave out. */
  private async storeApart(
    values: readonly StoredValue[],
    reason: string,
  ): Promise<boolean> {
    const [first] = values;
    if (values.length === 1 && first !== undefined) {
      this.appendStartedAt = 0;
      this.leaveOut(first, reason);
      return true;
    }
    const middle = Math.ceil(values.length / 2);
    return (
      (await this.store(values.slice(0, middle))) &&
      (await this.store(values.slice(middle)))
    );
  }

  private leaveOut(value: StoredValue, reason: string): void {
    const { key } = value;
    const bytes = recordBytes(value);
    this.options.logger.error('A record cannot be stored.', {
      key,
      bytes,
      reason,
    });
    this.options.onUnstorable(key);
  }

  private isClosed(): boolean {
    return this.closed;
  }
}

function totalBytes(values: readonly StoredValue[]): number {
  return values.reduce((sum, value) => sum + recordBytes(value), 0);
}
