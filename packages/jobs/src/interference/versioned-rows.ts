import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';

/** Beyond this number, the row that was set longest ago is evicted. */
const MAXIMUM_ROWS = 20_000;

interface VersionedRow<Row> {
  readonly row: Row;
  /** The row at the version below; without later changes that are too small. */
  readonly rowAtVersion: Row;
  readonly version: number;
}

/** Rows by key, with a version that rises with each noticeable change. */
export class VersionedRows<Row> {
  private readonly entries = new BoundedMap<VersionedRow<Row>>(MAXIMUM_ROWS);

  private readonly isNoticeable: (rowAtVersion: Row, row: Row) => boolean;

  private newestVersion = 0;

  /**
   * @param isNoticeable - Returns whether a change of a row gets a new version.
   */
  public constructor(isNoticeable: (rowAtVersion: Row, row: Row) => boolean) {
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
    if (before !== undefined && !this.isNoticeable(before.rowAtVersion, row)) {
      this.entries.set(key, { ...before, row });
      return;
    }
    this.newestVersion += 1;
    this.entries.set(key, {
      row,
      rowAtVersion: row,
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
