import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';

/** Beyond this number, the row that was set longest ago is evicted. */
const MAXIMUM_ROWS = 20_000;

interface Entry<Row> {
  readonly row: Row;
  /** The row as of the version below; later small changes are not in it. */
  readonly versionedRow: Row;
  readonly version: number;
}

/** Rows by key, which can be listed by the version of their last change. */
export class VersionedRows<Row> {
  private readonly entries = new BoundedMap<Entry<Row>>(MAXIMUM_ROWS);

  private readonly isNoticeable: (versionedRow: Row, row: Row) => boolean;

  private newestVersion = 0;

  /**
   * @param isNoticeable - Whether a change of a row deserves a new version.
   */
  public constructor(isNoticeable: (versionedRow: Row, row: Row) => boolean) {
    this.isNoticeable = isNoticeable;
  }

  /** Version of the newest change; 0 before the first. */
  public get version(): number {
    return this.newestVersion;
  }

  public get(key: string): Row | undefined {
    return this.entries.get(key)?.row;
  }

  public set(key: string, row: Row): void {
    const before = this.entries.get(key);
    if (before !== undefined && !this.isNoticeable(before.versionedRow, row)) {
      this.entries.set(key, { ...before, row });
      return;
    }
    this.newestVersion += 1;
    this.entries.set(key, {
      row,
      versionedRow: row,
      version: this.newestVersion,
    });
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
