import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';

/** Rows kept; the one that was set longest ago goes first. */
const MOST_ROWS = 20_000;

interface Entry<Row> {
  readonly row: Row;
  /** The row as it was when its version was given. */
  readonly noted: Row;
  readonly version: number;
}

/** Rows by key, of which those that changed since a version are told apart. */
export class VersionedRows<Row> {
  private readonly entries = new BoundedMap<Entry<Row>>(MOST_ROWS);

  private readonly isNoticeable: (noted: Row, row: Row) => boolean;

  private newest = 0;

  /**
   * @param isNoticeable - A change of a row is worth telling.
   */
  public constructor(isNoticeable: (noted: Row, row: Row) => boolean) {
    this.isNoticeable = isNoticeable;
  }

  /** Version of the newest change; 0 before the first. */
  public get version(): number {
    return this.newest;
  }

  public get(key: string): Row | undefined {
    return this.entries.get(key)?.row;
  }

  public set(key: string, row: Row): void {
    const before = this.entries.get(key);
    if (before !== undefined && !this.isNoticeable(before.noted, row)) {
      this.entries.set(key, { ...before, row });
      return;
    }
    this.newest += 1;
    this.entries.set(key, { row, noted: row, version: this.newest });
  }

  /** Returns the rows that changed noticeably after a version; all after 0. */
  public since(version: number): readonly Row[] {
    const rows: Row[] = [];
    for (const entry of this.entries.values()) {
      if (entry.version > version) {
        rows.push(entry.row);
      }
    }
    return rows;
  }
}
