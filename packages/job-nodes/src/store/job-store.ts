import type { StoredValue } from './stored-value.js';

/** Key-value store of jobs and their progress. */
export interface JobStore {
  /** Fences writers with a lower epoch; false if a higher one has been used. */
  readonly open: (epoch: number) => Promise<boolean>;
  /** Returns the newest value of each key. */
  readonly readAll: () => Promise<readonly StoredValue[]>;
  /**
   * Stores all values or none; false if a higher epoch has been used.
   *
   * @param sequence - Number of the append in the epoch, from 0; an append that
   * is repeated under the same number is stored once.
   * @throws AppendRefusedError when the store refuses what the values are.
   */
  readonly append: (
    epoch: number,
    sequence: number,
    values: readonly StoredValue[],
  ) => Promise<boolean>;
}
