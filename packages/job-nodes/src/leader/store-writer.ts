import { messageOf } from '@basilcourse/foundation/errors/message-of';

import type { StoredValue } from '../store/stored-value.js';
import { pause } from '../time/pause.js';
import type { StoreWriterOptions } from './store-writer-options.js';

/** Changes are gathered for so long before they are stored together. */
const GATHER_MILLISECONDS = 12;

const RETRY_MILLISECONDS = 60;

/**
 * Stores changes in order, one call at a time, and then does what had to wait
 * for them. A call without an answer is repeated under its number until it has
 * one.
 */
export class StoreWriter {
  private readonly options: StoreWriterOptions;

  private actions: ((stored: boolean) => void)[] = [];

  /** Actions that wait for the call under way. */
  private underWay: ((stored: boolean) => void)[] = [];

  private running = false;

  private closed = false;

  private sequence = 0;

  private callBeganAt = 0;

  public constructor(options: StoreWriterOptions) {
    this.options = options;
  }

  /**
   * Runs an action once all changes so far are stored, or once it is clear
   * that this writer can't tell whether they are.
   */
  public afterStored(action: (stored: boolean) => void): void {
    if (this.closed) {
      action(false);
      return;
    }
    this.actions.push(action);
    this.wake();
  }

  /** Stores what has changed. */
  public wake(): void {
    if (!this.running && !this.closed) {
      this.running = true;
      void this.run();
    }
  }

  /** Stops; actions that still wait are told that nothing is sure. */
  public close(): void {
    this.closed = true;
    const waiting = [...this.underWay.splice(0), ...this.actions.splice(0)];
    waiting.forEach(action => {
      action(false);
    });
  }

  /** Time for which the store has owed an answer; 0 if it owes none. */
  public blockedMilliseconds(): number {
    return this.callBeganAt === 0
      ? 0
      : this.options.time.steady() - this.callBeganAt;
  }

  private async run(): Promise<void> {
    while (!this.closed) {
      await pause(GATHER_MILLISECONDS);
      this.underWay = this.actions;
      this.actions = [];
      const values = this.options.collect();
      const stored = values.length === 0 || (await this.store(values));
      this.underWay.splice(0).forEach(action => {
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

  private async store(values: readonly StoredValue[]): Promise<boolean> {
    const { store, epoch, logger, time, onFenced } = this.options;
    this.callBeganAt = time.steady();
    for (let tries = 1; !this.isClosed(); tries += 1) {
      try {
        const stored = await store.append(epoch, this.sequence, values);
        this.callBeganAt = 0;
        this.sequence += 1;
        if (!stored) {
          this.close();
          onFenced();
        }
        return stored;
      } catch (error) {
        logger.warn('The store did not answer an append.', {
          reason: messageOf(error),
          tries,
          sequence: this.sequence,
        });
        await pause(RETRY_MILLISECONDS);
      }
    }
    return false;
  }

  private isClosed(): boolean {
    return this.closed;
  }
}
