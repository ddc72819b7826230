import type { StoredValue } from './stored-value.js';

/** Where jobs and their progress are kept, by key. */
export interface JobStore {
  /** Shuts out every writer with a lower epoch. */
  readonly open: (epoch: number) => Promise<boolean>;
  /** Returns the newest value of each key. */
  readonly readAll: () => Promise<readonly StoredValue[]>;
  /**
   * Stores all values or none; false if a higher epoch was seen.
   *
   * @param sequence - Number of the call in the epoch, from 0; a call that is
   * repeated under its number is stored once.
   */
  readonly append: (
    epoch: number,
    sequence: number,
    values: readonly StoredValue[],
  ) => Promise<boolean>;
}
