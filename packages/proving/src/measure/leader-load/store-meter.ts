import type { JobStore } from '@basilcourse/job-nodes/store/job-store';
import type { StoredValue } from '@basilcourse/job-nodes/store/stored-value';
import { pause } from '@basilcourse/job-nodes/time/pause';

/** Time in which the store answers a call. */
const ANSWER_DELAY_MILLISECONDS = 6;

/** An empty store that accepts all appends and counts them. */
export class StoreMeter implements JobStore {
  public appends = 0;

  public records = 0;

  /** Characters of all stored values. */
  public characters = 0;

  public async open(): Promise<boolean> {
    await pause(ANSWER_DELAY_MILLISECONDS);
    return true;
  }

  public async readAll(): Promise<readonly StoredValue[]> {
    await pause(ANSWER_DELAY_MILLISECONDS);
    return [];
  }

  public async append(
    _epoch: number,
    _sequence: number,
    values: readonly StoredValue[],
  ): Promise<boolean> {
    await pause(ANSWER_DELAY_MILLISECONDS);
    this.appends += 1;
    this.records += values.length;
    for (const { value } of values) {
      this.characters += value?.length ?? 0;
    }
    return true;
  }
}
