import type { StoredRecord } from '@basilcourse/shared-state/log/stored-record';

/**
 * Minimum number of the latest records kept. The buffer is truncated to this
 * number when it has more than twice as many.
 */
const RECORDS_KEPT = 5000;

/** Keeps the most recent records of the log for peers that follow it. */
export class RecordBuffer {
  private records: StoredRecord[] = [];

  private readonly waiters = new Set<() => void>();

  /** Adds the next record and resolves all pending `changed` calls. */
  public add(record: StoredRecord): void {
    this.records.push(record);
    if (this.records.length > RECORDS_KEPT * 2) {
      this.records = this.records.slice(-RECORDS_KEPT);
    }
    this.wakeAll();
  }

  /** Drops all records after the state was replaced by a snapshot. */
  public clear(): void {
    this.records = [];
    this.wakeAll();
  }

  /** Records from an offset on; undefined if some of them were discarded. */
  public from(
    offset: number,
    next: number,
  ): readonly StoredRecord[] | undefined {
    const first = this.records[0]?.offset ?? next;
    if (offset < first) {
      return undefined;
    }
    const index = this.records.findLastIndex(record => record.offset < offset);
    return this.records.slice(index + 1);
  }

  /** Resolves at the next change or after the given time. */
  public async changed(milliseconds: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(wake, milliseconds);
      const { waiters } = this;
      function wake(): void {
        clearTimeout(timer);
        waiters.delete(wake);
        resolve();
      }
      waiters.add(wake);
    });
  }

  private wakeAll(): void {
    for (const wake of [...this.waiters]) {
      wake();
    }
  }
}
